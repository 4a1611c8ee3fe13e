/* Messages between nodes. The generated C is committed; scripts/generate.sh makes it again. */

const WB_WIRE_NAME_MAX = 200;
const WB_WIRE_TEXT_MAX = 4000000;
const WB_WIRE_LIST_MAX = 20000;

typedef string wb_wire_name<WB_WIRE_NAME_MAX>;
typedef string wb_wire_text<WB_WIRE_TEXT_MAX>;

/* Who speaks; the first message on every link. */
struct wb_wire_hello {
    wb_wire_name cluster;
    wb_wire_name node;
    unsigned hyper incarnation;
    wb_wire_name address;
    wb_wire_name zone;
    bool overlay; /* the sender wants heartbeats on this link */
};

/* One node's state as known; a higher incarnation wins, then the graver state. */
struct wb_wire_member {
    wb_wire_name node;
    wb_wire_name address;
    wb_wire_name client_address;
    wb_wire_name zone;
    unsigned hyper incarnation;
    unsigned int state;
};

/* Who owns a cell; the higher epoch wins. */
struct wb_wire_ownership {
    wb_wire_name cell;
    wb_wire_name node;
    unsigned hyper epoch;
};

struct wb_wire_heartbeat {
    unsigned hyper config_version;
    unsigned hyper member_digest;
    unsigned hyper owner_digest;
};

struct wb_wire_gossip {
    wb_wire_member members<WB_WIRE_LIST_MAX>;
    wb_wire_ownership owners<WB_WIRE_LIST_MAX>;
};

/* Ask for configuration changes after a version. */
struct wb_wire_config_fetch {
    unsigned hyper have;
};

/* One accepted change (from = to - 1), or a whole configuration. */
struct wb_wire_config_change {
    unsigned hyper from; /* equal to `to`: a whole configuration */
    unsigned hyper to;
    wb_wire_text text;
};

/* The replicated record of a cell: its members, slots and claims. */
struct wb_wire_slot {
    wb_wire_name model;
    wb_wire_name engine;
};

/* An engine as the machine list showed it, so that a new owner needs no list. */
struct wb_wire_engine {
    wb_wire_name engine;
    wb_wire_name address;
    wb_wire_name zone;
    unsigned int state; /* wb_machine_state_t; gone: forget it */
};

enum wb_wire_claim_phase {
    WB_WIRE_CLAIM_PHASE_TAKEN = 0,
    WB_WIRE_CLAIM_PHASE_DONE = 1
};

struct wb_wire_claim {
    wb_wire_name model;
    wb_wire_name key;
    wb_wire_name stream; /* at the engine; another one for each attempt */
    wb_wire_name engine;
    wb_wire_name engine_address;
    wb_wire_name node;
    unsigned hyper attempt; /* counts up from 1 */
    unsigned hyper digest;  /* of the request's body */
    wb_wire_claim_phase phase;
    unsigned int status;
    wb_wire_text answer;
    unsigned int age_ms;
};

struct wb_wire_members {
    unsigned hyper generation;
    wb_wire_name names<16>;
};

struct wb_wire_record {
    wb_wire_members members;
    wb_wire_slot slots<WB_WIRE_LIST_MAX>;
    wb_wire_engine engines<WB_WIRE_LIST_MAX>;
    wb_wire_claim claims<100000>;
    bool slots_unverified; /* slots from before a lost majority may be missing */
    unsigned int claims_incomplete_ms; /* claims from before may be missing for so long */
};

enum wb_wire_command_kind {
    WB_WIRE_COMMAND_MEMBERS = 1,
    WB_WIRE_COMMAND_SLOT_ADD = 2,
    WB_WIRE_COMMAND_SLOT_REMOVE = 3,
    WB_WIRE_COMMAND_CLAIM = 4,
    WB_WIRE_COMMAND_CLAIM_DONE = 5,
    WB_WIRE_COMMAND_ENGINE = 6,
    WB_WIRE_COMMAND_SLOTS_VERIFIED = 7
};

union wb_wire_command switch (wb_wire_command_kind kind) {
case WB_WIRE_COMMAND_MEMBERS:
    wb_wire_members members;
case WB_WIRE_COMMAND_SLOT_ADD:
    wb_wire_slot slot_add;
case WB_WIRE_COMMAND_SLOT_REMOVE:
    wb_wire_slot slot_remove;
case WB_WIRE_COMMAND_CLAIM:
    wb_wire_claim claim;
case WB_WIRE_COMMAND_CLAIM_DONE:
    wb_wire_claim claim_done;
case WB_WIRE_COMMAND_ENGINE:
    wb_wire_engine engine;
case WB_WIRE_COMMAND_SLOTS_VERIFIED:
    void;
};

struct wb_wire_group_state {
    wb_wire_name cell;
    unsigned hyper epoch;
    unsigned hyper sequence;
    wb_wire_record record;
};

struct wb_wire_group_append {
    wb_wire_name cell;
    unsigned hyper epoch;
    unsigned hyper sequence; /* after these commands; without commands: a heartbeat */
    wb_wire_command commands<WB_WIRE_LIST_MAX>;
};

struct wb_wire_group_ack {
    wb_wire_name cell;
    unsigned hyper epoch;    /* the highest epoch promised */
    unsigned hyper sequence; /* last command held of that epoch's owner */
    bool need_state;
};

struct wb_wire_group_vote {
    wb_wire_name cell;
    unsigned hyper epoch;
    bool forced; /* the owner has handed over */
};

struct wb_wire_group_ballot {
    wb_wire_name cell;
    unsigned hyper epoch;
    bool granted;
    unsigned hyper promised;
    unsigned hyper state_epoch;
    unsigned hyper sequence;
    wb_wire_record record; /* empty unless granted */
};

struct wb_wire_group_hand_over {
    wb_wire_name cell;
    unsigned hyper epoch;
};

/* A gateway wants replicas of a model, or tells that it uses them. */
struct wb_wire_route_subscribe {
    wb_wire_name model;
    wb_wire_name adapter;
    unsigned int waiting;
    unsigned int running;
    unsigned int earliest_deadline_ms; /* of what waits; 0: none */
};

struct wb_wire_replica {
    wb_wire_name engine;
    wb_wire_name address;
    wb_wire_name zone;
    unsigned int batch;
};

enum wb_wire_route_state {
    WB_WIRE_ROUTE_READY = 0,
    WB_WIRE_ROUTE_LOADING = 1,
    WB_WIRE_ROUTE_UNAVAILABLE = 2,
    WB_WIRE_ROUTE_NOT_OWNER = 3,
    WB_WIRE_ROUTE_BUSY = 4
};

struct wb_wire_route_update {
    wb_wire_name model;
    wb_wire_name adapter;
    wb_wire_route_state state;
    unsigned int estimate_ms; /* waking: until ready; refused: when to come back */
    wb_wire_name reason;
    wb_wire_replica replicas<WB_WIRE_LIST_MAX>;
};

/* A non-repeatable request asks to run. */
struct wb_wire_claim_request {
    unsigned hyper request;
    wb_wire_name model;
    wb_wire_name key;
    wb_wire_name stream; /* empty: look for the key's run only */
    wb_wire_name engine;
    wb_wire_name engine_address;
    wb_wire_name node;
    unsigned hyper digest; /* of the body: one key, one request */
    unsigned hyper retry_of; /* attempt known not to have run, as fetched; 0: none */
};

enum wb_wire_claim_state {
    WB_WIRE_CLAIM_GRANTED = 0,
    WB_WIRE_CLAIM_TAKEN = 1,   /* someone ran or runs it: look at its stream */
    WB_WIRE_CLAIM_DONE = 2,    /* the first run's answer */
    WB_WIRE_CLAIM_MISMATCH = 3,
    WB_WIRE_CLAIM_REFUSED = 4, /* not owner, or no quorum: nothing was run */
    WB_WIRE_CLAIM_UNKNOWN = 5  /* looked for only: nobody used this key lately */
};

struct wb_wire_claim_response {
    unsigned hyper request;
    wb_wire_claim_state state;
    unsigned hyper attempt;
    wb_wire_name stream;
    wb_wire_name engine;
    wb_wire_name engine_address;
    wb_wire_name node;
    unsigned int status;
    wb_wire_text answer;
    wb_wire_name reason;
    unsigned int age_ms; /* of the claim */
};

/* The first run's answer, kept for retries with the same key. */
struct wb_wire_claim_done {
    wb_wire_name model;
    wb_wire_name key;
    wb_wire_name stream;
    unsigned int status;
    wb_wire_text answer;
};

/* What one gateway asks of the placement controller for a model, or an adapter of it. */
struct wb_wire_demand_entry {
    wb_wire_name service;
    wb_wire_name model;
    wb_wire_name adapter;      /* empty: the model itself */
    unsigned int waiting;      /* requests that wait for it to be loaded */
    unsigned int running;      /* requests under way */
    unsigned int arrivals;     /* requests since the last message */
    unsigned hyper work;       /* prompt tokens of these arrivals */
    unsigned int time_left_ms; /* of the tightest that waits */
};

/* What a gateway spent of a tenant's limit since its last message, in the limit's unit. */
struct wb_wire_tenant_usage {
    wb_wire_name tenant;
    unsigned int kind;     /* of its requests: a service and a rank */
    unsigned int requests; /* that asked */
    unsigned hyper asked;
    hyper admitted; /* negative: more was given back than admitted */
};

/* What a gateway knows of an engine: how long work takes there, and what it has sent there. */
struct wb_wire_engine_usage {
    wb_wire_name engine;
    unsigned int pace_percent; /* of what is usual, by its answers; 0: none since long */
    unsigned int tokens;       /* prompt tokens sent there since the last message */
};

/* All that a gateway has running or waiting; it replaces what the gateway said before. What tenants
 * spent is added to it. */
struct wb_wire_demand {
    wb_wire_name node;
    wb_wire_demand_entry entries<WB_WIRE_LIST_MAX>;
    wb_wire_tenant_usage tenants<WB_WIRE_LIST_MAX>;
    wb_wire_engine_usage engines<WB_WIRE_LIST_MAX>;
};

/* News from the placement controller: an engine holds a model or adapter, or is about to drop it. */
struct wb_wire_placement_entry {
    wb_wire_name engine;
    wb_wire_name model;
    wb_wire_name adapter; /* empty: the model itself */
    bool held;
    unsigned int ready_in_ms; /* not held yet: it is being loaded, and expected then; 0: it isn't */
};

struct wb_wire_placement {
    unsigned hyper token;
    wb_wire_placement_entry entries<WB_WIRE_LIST_MAX>;
};

/* The row of the placement controller's lease. */
struct wb_wire_lease {
    wb_wire_name holder;  /* the machine */
    wb_wire_name address; /* where gateways reach it */
    unsigned hyper token; /* rises with each take-over */
    unsigned hyper beat;  /* counts renewals */
    bool released;
    unsigned int recent_loads; /* from the weight store in the window before this renewal */
    bool has_grants;         /* the lists below are told: in the store's row, not in news */
    bool grants_unlisted;          /* any engine may have been ordered lately; the lists are empty */
    wb_wire_name granted<WB_WIRE_LIST_MAX>;   /* engines this holder may have ordered lately */
    wb_wire_name inherited<WB_WIRE_LIST_MAX>; /* engines a holder before it may have */
};

/* A row of one of the store's tables, as the sender read it. */
struct wb_wire_table_row {
    unsigned int table; /* wb_table_name_t */
    wb_wire_name key;
    unsigned hyper row_version;
    bool removed;
    opaque value<WB_WIRE_TEXT_MAX>;
};

/* How far the sender follows a table. */
struct wb_wire_table_view {
    unsigned int table;
    unsigned hyper newest;     /* the highest version of a row that the sender knows there; of
                                * engines and of nodes' ids a digest of them */
    unsigned int age_ms;       /* since the sender asked for what it was last told */
};

/* What the placement controller reads in the store, so that gateways need not ask. */
struct wb_wire_store_update {
    wb_wire_table_view views<8>;
    wb_wire_lease lease;
    unsigned hyper lease_version;
    wb_wire_table_row rows<WB_WIRE_LIST_MAX>;
    bool look; /* more has changed than fits in: ask the store */
};

/* When a model that waits for its turn at the weight store should be there. */
struct wb_wire_load_plan_entry {
    wb_wire_name model;
    unsigned int ready_in_ms;
};

/* The controller's plan for models of one service that no engine holds; only what has changed. */
struct wb_wire_load_plan {
    unsigned hyper token;
    wb_wire_name service;
    wb_wire_load_plan_entry entries<WB_WIRE_LIST_MAX>;
};

/* A tenant that is short of its limit: gateways admit a share of its requests. */
struct wb_wire_quota_entry {
    wb_wire_name tenant;
    unsigned int kind;      /* of its requests; 0: all that aren't named */
    unsigned int share_ppm; /* millionths of what is asked */
};

/* All tenants that are short; the others are not. */
struct wb_wire_quota {
    wb_wire_quota_entry tenants<WB_WIRE_LIST_MAX>;
};

const WB_WIRE_DIGEST_BYTES = 16;
const WB_WIRE_POISON_ENGINES = 8;

/* What is held against a request that may crash the engines that run it. */
struct wb_wire_poison_entry {
    opaque digest[WB_WIRE_DIGEST_BYTES];
    unsigned int body_bytes;
    unsigned hyper engines<WB_WIRE_POISON_ENGINES>; /* that ended under it: hashes of their ids */
    unsigned int forgiven; /* one bit for each engine */
    unsigned int left_ms;  /* for which it is held against the request */
};

/* Added to what the receiver knows. Gateways tell the controller, which tells all gateways; it also
 * stands in the store behind the lease's row. */
struct wb_wire_poison {
    wb_wire_poison_entry entries<WB_WIRE_LIST_MAX>;
};

/* What all gateways together know of an engine. */
struct wb_wire_engine_load {
    unsigned int engine;       /* a short hash of its id */
    unsigned int pace_percent; /* of what is usual; 0: not known */
    unsigned int tokens_per_s; /* prompt tokens that are sent there */
    unsigned int backlog_ms;   /* time in which it has read them */
};

/* Only engines whose figures have changed. */
struct wb_wire_engine_loads {
    wb_wire_engine_load engines<WB_WIRE_LIST_MAX>;
};

/* Engines of a service that hold a model, or any of them. */
struct wb_wire_engine_selector {
    wb_wire_name service;
    wb_wire_name model; /* empty: any engine of the service */
};

struct wb_wire_row_version {
    wb_wire_name key;
    unsigned hyper row_version; /* 0: it isn't known */
};

/* A gateway that doesn't read the table of engines asks a node that does. Added to what it asked on
 * this link before. */
struct wb_wire_engine_subscribe {
    wb_wire_name zone; /* of the gateway */
    wb_wire_engine_selector wants<WB_WIRE_LIST_MAX>;
    wb_wire_row_version known<WB_WIRE_LIST_MAX>; /* rows whose changes it needs, too */
};

/* The answer, later changes of rows that were told, and each half second that there are none. */
struct wb_wire_engine_update {
    bool whole;          /* the sender has read the table */
    unsigned int age_ms; /* since it was last sure to know the newest rows */
    wb_wire_engine_selector answered<WB_WIRE_LIST_MAX>;
    wb_wire_table_row rows<WB_WIRE_LIST_MAX>;
    wb_wire_placement_entry holds<WB_WIRE_LIST_MAX>; /* what rows don't show yet */
};

/* What an engine's answers told last of its limit. */
enum wb_wire_limit {
    WB_WIRE_LIMIT_UNKNOWN = 0,
    WB_WIRE_LIMIT_SET = 1,
    WB_WIRE_LIMIT_ENDED = 2
};

/* What an engine has told a node of itself. */
struct wb_wire_engine_state {
    wb_wire_name engine;
    unsigned hyper born_ms;     /* when it started; 0: not known */
    bool leaving;
    unsigned int limit;         /* wb_wire_limit */
    unsigned int limit_milli;   /* thousandths of a request a second */
    unsigned int limit_age_ms;  /* since it was named, or since the request whose answer showed its end
                                 * was sent */
};

/* Gateways tell the controller, which tells all gateways. */
struct wb_wire_engine_states {
    wb_wire_engine_state engines<WB_WIRE_LIST_MAX>;
};

/* How messages between nodes are formed, told in a hello's incarnation by edge nodes. Form 1 is the
 * message alone; form 2 lets parts follow it. docs/COMPATIBILITY.md tells what a release may
 * change. */
const WB_WIRE_FORMAT_VERSION = 2;

/* What was added to a message or a row later: a reader passes over kinds that it doesn't know. */
enum wb_wire_extension_kind {
    WB_WIRE_EXTENSION_STARTS = 1, /* wb_wire_start_times */
    WB_WIRE_EXTENSION_WRITER = 2  /* wb_wire_writer */
};

struct wb_wire_extension {
    unsigned int kind; /* wb_wire_extension_kind */
    opaque value<WB_WIRE_TEXT_MAX>;
};

struct wb_wire_extensions {
    wb_wire_extension parts<64>;
};

/* When the engines that a message's entries name started, one by one; 0: not known. */
struct wb_wire_start_times {
    unsigned hyper born_ms<WB_WIRE_LIST_MAX>;
};

/* Who wrote a row. */
struct wb_wire_writer {
    unsigned int form; /* WB_WIRE_FORMAT_VERSION of its build */
};

enum wb_wire_kind {
    WB_WIRE_HELLO = 1,
    WB_WIRE_HEARTBEAT = 2,
    WB_WIRE_GOSSIP = 3,
    WB_WIRE_SYNC = 4,
    WB_WIRE_CONFIG_FETCH = 5,
    WB_WIRE_CONFIG_CHANGE = 6,
    WB_WIRE_GROUP_STATE = 7,
    WB_WIRE_GROUP_APPEND = 8,
    WB_WIRE_GROUP_ACK = 9,
    WB_WIRE_GROUP_VOTE = 10,
    WB_WIRE_GROUP_BALLOT = 11,
    WB_WIRE_ROUTE_SUBSCRIBE = 12,
    WB_WIRE_ROUTE_UPDATE = 13,
    WB_WIRE_CLAIM_REQUEST = 14,
    WB_WIRE_CLAIM_RESPONSE = 15,
    WB_WIRE_CLAIM_DONE_NOTICE = 16,
    WB_WIRE_GROUP_HAND_OVER = 17,
    WB_WIRE_DEMAND = 18,
    WB_WIRE_PLACEMENT = 19,
    WB_WIRE_STORE_UPDATE = 20,
    WB_WIRE_LOAD_PLAN = 21,
    WB_WIRE_QUOTA = 22,
    WB_WIRE_POISON = 23,
    WB_WIRE_ENGINE_LOADS = 24,
    WB_WIRE_ENGINE_SUBSCRIBE = 25, /* from here on: only to readers of form 2 */
    WB_WIRE_ENGINE_UPDATE = 26,
    WB_WIRE_ENGINE_STATES = 27
};

union wb_wire_message switch (wb_wire_kind kind) {
case WB_WIRE_HELLO:
    wb_wire_hello hello;
case WB_WIRE_HEARTBEAT:
    wb_wire_heartbeat heartbeat;
case WB_WIRE_GOSSIP:
    wb_wire_gossip gossip;
case WB_WIRE_SYNC:
    void;
case WB_WIRE_CONFIG_FETCH:
    wb_wire_config_fetch config_fetch;
case WB_WIRE_CONFIG_CHANGE:
    wb_wire_config_change config_change;
case WB_WIRE_GROUP_STATE:
    wb_wire_group_state group_state;
case WB_WIRE_GROUP_APPEND:
    wb_wire_group_append group_append;
case WB_WIRE_GROUP_ACK:
    wb_wire_group_ack group_ack;
case WB_WIRE_GROUP_VOTE:
    wb_wire_group_vote group_vote;
case WB_WIRE_GROUP_BALLOT:
    wb_wire_group_ballot group_ballot;
case WB_WIRE_ROUTE_SUBSCRIBE:
    wb_wire_route_subscribe route_subscribe;
case WB_WIRE_ROUTE_UPDATE:
    wb_wire_route_update route_update;
case WB_WIRE_CLAIM_REQUEST:
    wb_wire_claim_request claim_request;
case WB_WIRE_CLAIM_RESPONSE:
    wb_wire_claim_response claim_response;
case WB_WIRE_CLAIM_DONE_NOTICE:
    wb_wire_claim_done claim_done;
case WB_WIRE_GROUP_HAND_OVER:
    wb_wire_group_hand_over group_hand_over;
case WB_WIRE_DEMAND:
    wb_wire_demand demand;
case WB_WIRE_PLACEMENT:
    wb_wire_placement placement;
case WB_WIRE_STORE_UPDATE:
    wb_wire_store_update store_update;
case WB_WIRE_LOAD_PLAN:
    wb_wire_load_plan load_plan;
case WB_WIRE_QUOTA:
    wb_wire_quota quota;
case WB_WIRE_POISON:
    wb_wire_poison poison;
case WB_WIRE_ENGINE_LOADS:
    wb_wire_engine_loads engine_loads;
case WB_WIRE_ENGINE_SUBSCRIBE:
    wb_wire_engine_subscribe engine_subscribe;
case WB_WIRE_ENGINE_UPDATE:
    wb_wire_engine_update engine_update;
case WB_WIRE_ENGINE_STATES:
    wb_wire_engine_states engine_states;
};
