/* The protocol of a cell's group as a spin model: members promise epochs, the owner's commands count
 * once a majority holds them, engines take orders by fence.
 *
 * Modelled: three members, two engines, one model with one replica decided. A member may be frozen at
 * any step and thaw later (its messages and orders stay in flight); the owner's lease may lapse twice
 * (two elections); the answer to an order may be lost, and the order itself may be late.
 * Not modelled: changes of members, founding again after a lost majority, claims, memory. The
 * simulated cluster of tests/fuzz covers those on the real code.
 * Differs from the code: a record is the set of slots as a bit mask; a command's replication and its
 * acknowledgement are one step each; the vote carries the record, as in the code.
 */
#define MEMBERS 3
#define ENGINES 2
#define MOST_EPOCH 3
#define MOST_ELECTIONS 3 /* the first owner, and two takeovers in a row */

byte promised[MEMBERS];     /* nothing from lower epochs is taken */
byte held_epoch[MEMBERS];   /* of the record held */
byte held_sequence[MEMBERS];
byte held_slots[MEMBERS];   /* bit e: the model may be loaded on engine e */
byte fence[ENGINES];        /* highest epoch that the engine has seen */
bool loaded[ENGINES];
byte ordered[ENGINES];      /* epoch of a load order in flight, 0: none */
byte elections;

inline replicate(me, other) {
    /* the owner's whole record goes to one member, if that member did not promise more */
    if
    :: promised[other] <= epoch ->
        promised[other] = epoch;
        held_epoch[other] = epoch;
        held_sequence[other] = held_sequence[me];
        held_slots[other] = held_slots[me];
        got = true
    :: else -> got = false
    fi
}

inline vote(me, other) {
    if
    :: promised[other] < epoch ->
        promised[other] = epoch;
        if
        :: held_epoch[other] > held_epoch[me] ||
           (held_epoch[other] == held_epoch[me] && held_sequence[other] > held_sequence[me]) ->
            held_epoch[me] = held_epoch[other];
            held_sequence[me] = held_sequence[other];
            held_slots[me] = held_slots[other]
        :: else
        fi;
        got = true
    :: else -> got = false
    fi
}

proctype member(byte me) {
    byte epoch = 0;
    byte other;
    byte engine;
    byte seen;      /* engines fenced in this epoch */
    byte committed; /* slots that a majority holds in this epoch */
    bool got;

candidate:
    other = 0; engine = 0; seen = 0; committed = 0; got = false;
    /* a candidacy: a lapse of the owner's lease, real or only believed */
    atomic {
        if
        :: elections < MOST_ELECTIONS && promised[me] < MOST_EPOCH ->
            elections++;
            epoch = promised[me] + 1;
            promised[me] = epoch
        :: else -> goto over
        fi
    }
    if
    :: other = (me + 1) % MEMBERS
    :: other = (me + 2) % MEMBERS
    fi;
    atomic { vote(me, other) }
    if
    :: !got -> goto candidate
    :: got
    fi;
    /* the new owner hands its record out; a majority must hold it before it acts */
    atomic {
        if
        :: promised[me] != epoch -> goto candidate
        :: else -> held_epoch[me] = epoch; held_sequence[me] = held_sequence[me] + 1
        fi
    }
    atomic { replicate(me, other) }
    if
    :: !got -> goto candidate
    :: got
    fi;
    committed = held_slots[me];
    seen = 0;

owner:
    do
    :: atomic { /* raise an engine's fence */
        if
        :: (seen & 1) == 0 -> engine = 0
        :: (seen & 2) == 0 -> engine = 1
        fi;
        if
        :: fence[engine] <= epoch -> fence[engine] = epoch; seen = seen | (1 << engine)
        :: else -> goto candidate /* someone with a higher epoch has taken over */
        fi
       }
    :: atomic { /* decide: one slot, on a fenced engine, if the record has none */
        held_slots[me] == 0 && seen != 0 && promised[me] == epoch ->
        if
        :: (seen & 1) != 0 -> held_slots[me] = 1
        :: (seen & 2) != 0 -> held_slots[me] = 2
        fi;
        held_sequence[me] = held_sequence[me] + 1
       };
       if
       :: other = (me + 1) % MEMBERS
       :: other = (me + 2) % MEMBERS
       fi;
       atomic {
        if
        :: promised[me] != epoch -> goto candidate
        :: else
        fi;
        replicate(me, other);
        if
        :: got -> committed = held_slots[me]
        :: else -> goto candidate
        fi
       }
    :: atomic { /* order what a counted slot allows; the owner may have been frozen before this */
        if
        :: (committed & 1) != 0 && (seen & 1) != 0 && ordered[0] == 0 -> ordered[0] = epoch
        :: (committed & 2) != 0 && (seen & 2) != 0 && ordered[1] == 0 -> ordered[1] = epoch
        fi
       }
    :: atomic { /* give a slot up: the engine is fenced by us, holds nothing, no order in flight */
        if
        :: committed == 1 && (seen & 1) != 0 && !loaded[0] && fence[0] == epoch &&
           ordered[0] != epoch -> engine = 0
        :: committed == 2 && (seen & 2) != 0 && !loaded[1] && fence[1] == epoch &&
           ordered[1] != epoch -> engine = 1
        fi;
        promised[me] == epoch ->
        held_slots[me] = 0;
        held_sequence[me] = held_sequence[me] + 1;
        committed = 0
       };
       if
       :: other = (me + 1) % MEMBERS
       :: other = (me + 2) % MEMBERS
       fi;
       atomic {
        if
        :: promised[me] != epoch -> goto candidate
        :: else
        fi;
        replicate(me, other);
        if
        :: got
        :: else -> goto candidate
        fi
       }
    :: goto candidate /* steps down, or believes that it should ask again */
    od;
over:
    skip
}

/* Orders arrive late or never, at any time; the engine looks at the fence only. */
proctype engines() {
    byte e;
end:
    do
    :: atomic {
        if
        :: ordered[0] != 0 -> e = 0
        :: ordered[1] != 0 -> e = 1
        fi;
        if
        :: ordered[e] >= fence[e] -> fence[e] = ordered[e]; loaded[e] = true
        :: else /* stale: refused */
        fi;
        ordered[e] = 0;
        e = 0;
        assert(!(loaded[0] && loaded[1])) /* never more replicas than decided */
       }
    :: atomic { /* the order is lost */
        if
        :: ordered[0] != 0 -> ordered[0] = 0
        :: ordered[1] != 0 -> ordered[1] = 0
        fi
       }
    od
}

init {
    atomic {
        run member(0);
        run member(1);
        run member(2);
        run engines()
    }
}
