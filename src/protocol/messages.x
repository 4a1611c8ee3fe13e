/* Messages between nodes, in XDR. The generated C is committed; scripts/generate.sh regenerates it.
 * Durations are in milliseconds, with `_ms` in their names. Bounds in angle brackets are enforced
 * when a message is encoded or decoded. */

const WB_WIRE_NAME_MAX = 200;
const WB_WIRE_TEXT_MAX = 4000000;
const WB_WIRE_LIST_MAX = 20000;

typedef string wb_wire_name<WB_WIRE_NAME_MAX>;
typedef string wb_wire_text<WB_WIRE_TEXT_MAX>;

/* Handshake: identifies the sender. The first message on every link, in both directions. */
struct wb_wire_hello {
    wb_wire_name cluster;
    wb_wire_name node;
    unsigned hyper incarnation; /* WB_WIRE_FORMAT_VERSION, from edge nodes only */
    wb_wire_name address;
    wb_wire_name zone;
    bool overlay; /* the sender asks for heartbeats on this link */
};

/* Membership state of a node, as wb_member_state_t. Gone is final; otherwise a higher incarnation
 * takes precedence, then the higher state. */
struct wb_wire_member {
    wb_wire_name node;
    wb_wire_name address;
    wb_wire_name client_address;
    wb_wire_name zone;
    unsigned hyper incarnation;
    unsigned int state;
};

/* The owner of a cell. A higher epoch takes precedence. */
struct wb_wire_ownership {
    wb_wire_name cell;
    wb_wire_name node;
    unsigned hyper epoch;
};

/* Sent regularly on links of the overlay. Digests that keep differing from the receiver's make it
 * send all its gossip; a higher configuration version makes it fetch changes. */
struct wb_wire_heartbeat {
    unsigned hyper config_version;
    unsigned hyper member_digest;
    unsigned hyper owner_digest;
};

/* Members and owners that the sender knows, for the receiver to merge. */
struct wb_wire_gossip {
    wb_wire_member members<WB_WIRE_LIST_MAX>;
    wb_wire_ownership owners<WB_WIRE_LIST_MAX>;
};

/* Requests the configuration changes after version `have`. */
struct wb_wire_config_fetch {
    unsigned hyper have;
};

/* One accepted change (from = to - 1), or a complete configuration (from = to), as JSON. */
struct wb_wire_config_change {
    unsigned hyper from;
    unsigned hyper to;
    wb_wire_text text;
};

/* Permission to load a model on an engine. */
struct wb_wire_slot {
    wb_wire_name model;
    wb_wire_name engine;
};

/* An engine as last read from the machine list, so that a new owner can work without the list. */
struct wb_wire_engine {
    wb_wire_name engine;
    wb_wire_name address;
    wb_wire_name zone;
    unsigned int state; /* wb_machine_state_t; removed: delete the engine from the record */
};

enum wb_wire_claim_phase {
    WB_WIRE_CLAIM_PHASE_TAKEN = 0,
    WB_WIRE_CLAIM_PHASE_DONE = 1
};

/* A claim: the permission to run a non-repeatable request once, by its key, and its outcome. */
struct wb_wire_claim {
    wb_wire_name model;
    wb_wire_name key;
    wb_wire_name stream; /* id at the engine; differs for each attempt */
    wb_wire_name engine;
    wb_wire_name engine_address;
    wb_wire_name node;
    unsigned hyper attempt; /* from 1 */
    unsigned hyper digest;  /* of the request's body */
    wb_wire_claim_phase phase;
    unsigned int status;
    wb_wire_text answer;
    unsigned int age_ms;
};

/* The nodes that replicate a cell's record. */
struct wb_wire_members {
    unsigned hyper generation;
    wb_wire_name names<16>;
};

/* The replicated record of a cell. */
struct wb_wire_record {
    wb_wire_members members;
    wb_wire_slot slots<WB_WIRE_LIST_MAX>;
    wb_wire_engine engines<WB_WIRE_LIST_MAX>;
    wb_wire_claim claims<100000>;
    bool slots_unverified; /* slots from before a lost majority may be missing */
    unsigned int claims_incomplete_ms; /* remaining time in which earlier claims may be missing; 0: none */
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

/* A change of a cell's record, sent by the owner. */
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

/* Complete record, sent by the owner to a member that lacks commands. */
struct wb_wire_group_state {
    wb_wire_name cell;
    unsigned hyper epoch;
    unsigned hyper sequence;
    wb_wire_record record;
};

/* Commands of the owner for the members to apply. */
struct wb_wire_group_append {
    wb_wire_name cell;
    unsigned hyper epoch;
    unsigned hyper sequence; /* of the last command; without commands the message is a heartbeat */
    wb_wire_command commands<WB_WIRE_LIST_MAX>;
};

/* Response of a member to the owner's state or commands. */
struct wb_wire_group_ack {
    wb_wire_name cell;
    unsigned hyper epoch;    /* the highest epoch promised */
    unsigned hyper sequence; /* of the last command received from that epoch's owner */
    bool need_state; /* commands are missing: the complete record is needed */
};

/* A candidate's request for a member's vote in an epoch. */
struct wb_wire_group_vote {
    wb_wire_name cell;
    unsigned hyper epoch;
    bool forced; /* the owner has handed over, so members vote although it is alive */
};

/* Response to a vote request. */
struct wb_wire_group_ballot {
    wb_wire_name cell;
    unsigned hyper epoch;
    bool granted;
    unsigned hyper promised;    /* highest epoch promised */
    unsigned hyper state_epoch; /* epoch of the member's record */
    unsigned hyper sequence;
    wb_wire_record record; /* empty unless granted */
};

/* From the owner: the receiver is to become a candidate at once. */
struct wb_wire_group_hand_over {
    wb_wire_name cell;
    unsigned hyper epoch;
};

/* A gateway requests replicas of a model, or reports that it uses them. */
struct wb_wire_route_subscribe {
    wb_wire_name model;
    wb_wire_name adapter;
    unsigned int waiting;
    unsigned int running;
    unsigned int earliest_deadline_ms; /* shortest of the waiting requests; 0: none */
};

/* An engine that holds the model, for use by gateways. */
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

/* The owner's response: the replicas of a model, or when there will be some. */
struct wb_wire_route_update {
    wb_wire_name model;
    wb_wire_name adapter;
    wb_wire_route_state state;
    unsigned int estimate_ms; /* loading: time until ready; else: time to wait before a retry */
    wb_wire_name reason;
    wb_wire_replica replicas<WB_WIRE_LIST_MAX>;
};

/* Requests a claim, the permission to run a non-repeatable request. */
struct wb_wire_claim_request {
    unsigned hyper request; /* number chosen by the gateway, returned in the response */
    wb_wire_name model;
    wb_wire_name key;
    wb_wire_name stream; /* empty: only look up the key's claim */
    wb_wire_name engine;
    wb_wire_name engine_address;
    wb_wire_name node;
    unsigned hyper digest; /* of the body; a key must not be used with another body */
    unsigned hyper retry_of; /* attempt that is known not to have run; 0: none */
};

enum wb_wire_claim_state {
    WB_WIRE_CLAIM_GRANTED = 0,
    WB_WIRE_CLAIM_TAKEN = 1,   /* it ran or is running; its stream shows the result */
    WB_WIRE_CLAIM_DONE = 2,    /* it has run; the response is included */
    WB_WIRE_CLAIM_MISMATCH = 3,
    WB_WIRE_CLAIM_REFUSED = 4, /* not the owner, or no quorum; nothing was run */
    WB_WIRE_CLAIM_UNKNOWN = 5  /* look-up only: the key wasn't used recently */
};

/* The owner's response to a claim request. */
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

/* The response of the first run, kept for retries with the same key. */
struct wb_wire_claim_done {
    wb_wire_name model;
    wb_wire_name key;
    wb_wire_name stream;
    unsigned int status;
    wb_wire_text answer;
};

/* A gateway's demand for a model or an adapter, reported to the placement controller. */
struct wb_wire_demand_entry {
    wb_wire_name service;
    wb_wire_name model;
    wb_wire_name adapter;      /* empty: the model itself */
    unsigned int waiting;      /* requests waiting for it to be loaded */
    unsigned int running;      /* requests in progress */
    unsigned int arrivals;     /* requests since the last message */
    unsigned hyper work;       /* prompt tokens of these arrivals */
    unsigned int time_left_ms; /* shortest time to a deadline of the waiting requests */
};

/* A gateway's use of a tenant's limit since its last message, in the limit's unit. */
struct wb_wire_tenant_usage {
    wb_wire_name tenant;
    unsigned int kind;     /* traffic class: service and priority */
    unsigned int requests; /* requests received */
    unsigned hyper asked;  /* amount requested */
    hyper admitted; /* amount admitted; negative when more was returned than admitted */
};

/* A gateway's report on an engine: its pace, and the work sent to it. */
struct wb_wire_engine_usage {
    wb_wire_name engine;
    unsigned int pace_percent; /* of the baseline, from its responses; 0: no recent value */
    unsigned int tokens;       /* prompt tokens sent there since the last message */
};

/* A gateway's report to the placement controller. `entries` replace those of its earlier messages;
 * amounts in `tenants` and `engines` add to earlier ones. */
struct wb_wire_demand {
    wb_wire_name node;
    wb_wire_demand_entry entries<WB_WIRE_LIST_MAX>;
    wb_wire_tenant_usage tenants<WB_WIRE_LIST_MAX>;
    wb_wire_engine_usage engines<WB_WIRE_LIST_MAX>;
};

/* Update from the placement controller: an engine holds a model or adapter, is loading it, or is
 * about to unload it. */
struct wb_wire_placement_entry {
    wb_wire_name engine;
    wb_wire_name model;
    wb_wire_name adapter; /* empty: the model itself */
    bool held;
    unsigned int ready_in_ms; /* not held: expected end of its load; 0: it isn't being loaded */
};

struct wb_wire_placement {
    unsigned hyper token;
    wb_wire_placement_entry entries<WB_WIRE_LIST_MAX>;
};

/* Lease row of the placement controller. */
struct wb_wire_lease {
    wb_wire_name holder;  /* machine id */
    wb_wire_name address; /* for gateways */
    unsigned hyper token; /* fencing token, increased by each takeover */
    unsigned hyper beat;  /* renewal counter */
    bool released;
    unsigned int recent_loads; /* loads from the weight store in the window before this renewal */
    bool has_grants;         /* the lists below are included: in the stored row, not in updates */
    bool grants_unlisted;          /* any engine may have had orders recently; the lists are empty */
    wb_wire_name granted<WB_WIRE_LIST_MAX>;   /* engines that may have had orders of this holder */
    wb_wire_name inherited<WB_WIRE_LIST_MAX>; /* engines that may have had orders of earlier ones */
};

/* A row of one of the store's tables, as the sender read it. */
struct wb_wire_table_row {
    unsigned int table; /* wb_table_name_t */
    wb_wire_name key;
    unsigned hyper row_version;
    bool removed;
    opaque value<WB_WIRE_TEXT_MAX>;
};

/* How current the sender's copy of a table is. */
struct wb_wire_table_view {
    unsigned int table;
    unsigned hyper newest;     /* highest row version in the copy; for the tables of engines and of
                                * nodes' ids a digest of its rows */
    unsigned int age_ms;       /* since the start of the sender's last successful read */
};

/* Rows that the placement controller has read from the store, so that gateways needn't do it. */
struct wb_wire_store_update {
    wb_wire_table_view views<8>;
    wb_wire_lease lease;
    unsigned hyper lease_version;
    wb_wire_table_row rows<WB_WIRE_LIST_MAX>;
    bool look; /* more rows have changed than fit into the message: read the store */
};

/* Estimate of when a model that is queued for the weight store will be loaded. */
struct wb_wire_load_plan_entry {
    wb_wire_name model;
    unsigned int ready_in_ms;
};

/* Load estimates for models of a service that no engine holds; only those that have changed. */
struct wb_wire_load_plan {
    unsigned hyper token;
    wb_wire_name service;
    wb_wire_load_plan_entry entries<WB_WIRE_LIST_MAX>;
};

/* A throttled tenant: gateways admit this share of its requests. */
struct wb_wire_quota_entry {
    wb_wire_name tenant;
    unsigned int kind;      /* traffic class; 0: all classes without an entry */
    unsigned int share_ppm; /* admitted share, in parts per million */
};

/* All throttled tenants; tenants that are absent aren't throttled. */
struct wb_wire_quota {
    wb_wire_quota_entry tenants<WB_WIRE_LIST_MAX>;
};

const WB_WIRE_DIGEST_BYTES = 16;
const WB_WIRE_POISON_ENGINES = 8;

/* Crashes of engines recorded for a request that may be their cause. */
struct wb_wire_poison_entry {
    opaque digest[WB_WIRE_DIGEST_BYTES];
    unsigned int body_bytes;
    unsigned hyper engines<WB_WIRE_POISON_ENGINES>; /* ids' hashes; they crashed while running it */
    unsigned int forgiven; /* bit mask over `engines`: crashes that were cleared */
    unsigned int left_ms;  /* until the entry expires */
};

/* Entries for the receiver to merge. Gateways send them to the controller, which sends them to all
 * gateways; they are also stored, appended to the lease row. */
struct wb_wire_poison {
    wb_wire_poison_entry entries<WB_WIRE_LIST_MAX>;
};

/* Aggregate of all gateways' reports on an engine. */
struct wb_wire_engine_load {
    unsigned int engine;       /* a short hash of its id */
    unsigned int pace_percent; /* of the baseline; 0: unknown */
    unsigned int tokens_per_s; /* prompt tokens sent to it */
    unsigned int backlog_ms;   /* time that it needs for the prefill of its backlog */
};

/* Sent to gateways: all engines on a new link, then those whose values have changed. */
struct wb_wire_engine_loads {
    wb_wire_engine_load engines<WB_WIRE_LIST_MAX>;
};

/* Selects the engines of a service that hold a model, or all of them. */
struct wb_wire_engine_selector {
    wb_wire_name service;
    wb_wire_name model; /* empty: any engine of the service */
};

struct wb_wire_row_version {
    wb_wire_name key;
    unsigned hyper row_version; /* 0: the sender doesn't have the row */
};

/* Subscription to engines, from a gateway that doesn't read the table of engines to a relay that
 * does. Adds to earlier subscriptions on the link. */
struct wb_wire_engine_subscribe {
    wb_wire_name zone; /* of the gateway */
    wb_wire_engine_selector wants<WB_WIRE_LIST_MAX>;
    wb_wire_row_version known<WB_WIRE_LIST_MAX>; /* further rows whose changes are needed */
};

/* Response to a subscription, and later changes of the rows that were sent. Without changes an
 * empty message is sent every half second. */
struct wb_wire_engine_update {
    bool whole;          /* the sender has a complete copy of the table */
    unsigned int age_ms; /* since the sender's copy was last known to be current */
    wb_wire_engine_selector answered<WB_WIRE_LIST_MAX>;
    wb_wire_table_row rows<WB_WIRE_LIST_MAX>;
    wb_wire_placement_entry holds<WB_WIRE_LIST_MAX>; /* placement that the rows don't show yet */
};

/* Rate limit in an engine's last responses. */
enum wb_wire_limit {
    WB_WIRE_LIMIT_UNKNOWN = 0,
    WB_WIRE_LIMIT_SET = 1,
    WB_WIRE_LIMIT_ENDED = 2
};

/* State that an engine has reported to a node in response headers. */
struct wb_wire_engine_state {
    wb_wire_name engine;
    unsigned hyper born_ms;     /* start time of its process; 0: unknown */
    bool leaving;
    unsigned int limit;         /* wb_wire_limit */
    unsigned int limit_milli;   /* thousandths of a request per second */
    unsigned int limit_age_ms;  /* since the limit was reported, or since the request was sent whose
                                 * response showed its end */
};

/* Gateways send it to the controller, which sends it to all gateways. */
struct wb_wire_engine_states {
    wb_wire_engine_state engines<WB_WIRE_LIST_MAX>;
};

/* A node that can't read the configuration in the store asks another one. */
struct wb_wire_catalog_fetch {
    unsigned hyper have; /* newest row version of the catalog that the sender has */
};

/* The answer. `rows` is empty if the sender has nothing newer, or sends too much already. */
struct wb_wire_catalog_answer {
    unsigned hyper newest; /* newest row version of the catalog that the sender knows of; it may
                            * have an older one itself */
    unsigned int age_ms;   /* since that was last confirmed to be the newest */
    wb_wire_table_row rows<8>;
};

/* Version of the message format; edge nodes send theirs in the incarnation of the handshake.
 * Version 1 is the message alone; in version 2 extensions may follow it; from version 3 on messages
 * with row versions name their era; from version 4 on streams begin only at software versions that
 * the lease row has. docs/COMPATIBILITY.md says what a release may change. */
const WB_WIRE_FORMAT_VERSION = 4;

/* Extensions of messages and rows. Readers skip kinds that they don't know. */
enum wb_wire_extension_kind {
    WB_WIRE_EXTENSION_STARTS = 1, /* wb_wire_start_times */
    WB_WIRE_EXTENSION_WRITER = 2, /* wb_wire_writer */
    WB_WIRE_EXTENSION_SENT = 3,   /* wb_wire_sent */
    WB_WIRE_EXTENSION_ERA = 4,    /* wb_wire_era */
    WB_WIRE_EXTENSION_BRITTLE = 5, /* wb_wire_brittle_engines */
    WB_WIRE_EXTENSION_HEARD = 6, /* wb_wire_heard */
    WB_WIRE_EXTENSION_HISTORY = 7, /* wb_wire_usage_history */
    WB_WIRE_EXTENSION_TUNNEL = 8, /* wb_wire_tunnel_form */
    WB_WIRE_EXTENSION_VERSION_WAITS = 9, /* wb_wire_version_waits */
    WB_WIRE_EXTENSION_VERSIONS = 10, /* wb_wire_service_versions */
    WB_WIRE_EXTENSION_ROUTE_MOVES = 11, /* wb_wire_route_moves */
    WB_WIRE_EXTENSION_STREAM_PLACE = 12, /* wb_wire_stream_place */
    WB_WIRE_EXTENSION_STREAM_LOSS = 13, /* wb_wire_stream_loss */
    WB_WIRE_EXTENSION_ECHO = 14 /* wb_wire_echo */
};

struct wb_wire_extension {
    unsigned int kind; /* wb_wire_extension_kind */
    opaque value<WB_WIRE_TEXT_MAX>;
};

struct wb_wire_extensions {
    wb_wire_extension parts<64>;
};

/* Start time of the engine in each entry of the message, in the same order; 0: unknown. */
struct wb_wire_start_times {
    unsigned hyper born_ms<WB_WIRE_LIST_MAX>;
};

/* With shares of limits: whether their sender receives the reports of the receiver, which is out of
 * touch otherwise, though it hears the sender. */
struct wb_wire_heard {
    bool heard;
    unsigned hyper report_ms; /* when the last report was sent, as its wb_wire_sent says; 0: none */
};

/* What a gateway admitted of a tenant's limit in the last 0.5, 1, 2, 4 and 8 s. */
struct wb_wire_tenant_history {
    wb_wire_name tenant;
    unsigned hyper units<8>;
};

/* With a gateway's first report on a link. */
struct wb_wire_usage_history {
    wb_wire_tenant_history tenants<WB_WIRE_LIST_MAX>;
};

/* When a message was sent, for the receiver to tell how long it was on its way compared with others
 * on the same link. */
struct wb_wire_sent {
    unsigned hyper sent_ms; /* monotonic clock of the sender */
};

/* In an update: a number that each gateway returns at once in a message of demand. What it had sent
 * on the link before that has then arrived. */
struct wb_wire_echo {
    unsigned hyper number;
};

/* With demand: requests that wait for a model or adapter at engines of one software version. The
 * entries of the demand leave them out. */
struct wb_wire_version_wait {
    wb_wire_name service;
    wb_wire_name model;
    wb_wire_name adapter; /* empty: the model itself */
    wb_wire_name software_version;
    unsigned int waiting;
};

struct wb_wire_version_waits {
    wb_wire_version_wait entries<WB_WIRE_LIST_MAX>;
};

/* A software version of a service that streams may have begun at. */
struct wb_wire_service_version {
    wb_wire_name service;
    wb_wire_name software_version; /* empty: unknown */
    unsigned int age_ms;           /* since such an engine was last announced */
};

/* In the lease row, and in store updates what is known to be in it. From format version 4 on no
 * stream begins at a version before the row has it. */
struct wb_wire_service_versions {
    unsigned int known_for_ms; /* for so long no stream began at a version that is missing here */
    wb_wire_service_version entries<WB_WIRE_LIST_MAX>;
};

/* With them, from writers of format version 4 on: path prefixes whose streams may have begun at
 * other services than those that they lead to now. */
struct wb_wire_route_moves {
    unsigned hyper catalog_version; /* newest catalog whose moves are counted; 0: none was */
    bool all;                       /* every prefix may have moved; the list is empty */
    unsigned hyper hashes<256>;     /* of host and prefix */
    unsigned int age_ms;            /* since a prefix last moved */
};

/* The store's era, in which all row versions of the message or row are numbers. */
struct wb_wire_era {
    unsigned hyper era;
};

/* Engines of the message that are brittle, or have ceased to be. */
struct wb_wire_brittle_engine {
    unsigned int index;      /* of the engine in the message */
    bool brittle;
    unsigned int rejections; /* in a second that it survives */
    unsigned int age_ms;     /* since a response last said that it is, or didn't say so */
};

struct wb_wire_brittle_engines {
    wb_wire_brittle_engine engines<WB_WIRE_LIST_MAX>;
};

/* The writer of a row. */
struct wb_wire_writer {
    unsigned int form; /* its format version */
};

/* The software version that a stream began at; for clients that take it up. */
struct wb_wire_stream_start {
    opaque key[WB_WIRE_DIGEST_BYTES]; /* wb_stream_key */
    wb_wire_name service;
    wb_wire_name software_version; /* empty: unknown */
    unsigned int left_ms;          /* while its client may take it up */
};

/* From a gateway: streams that began there, and on a new link all that it knows. From the
 * controller: streams of all gateways, to a few of them. */
struct wb_wire_stream_starts {
    wb_wire_stream_start entries<WB_WIRE_LIST_MAX>;
};

/* A service and software version at which streams of a row began. */
struct wb_wire_stored_origin {
    wb_wire_name service;
    wb_wire_name software_version; /* empty: unknown */
};

struct wb_wire_stored_start {
    opaque key[WB_WIRE_DIGEST_BYTES]; /* wb_stream_key */
    unsigned int origin;              /* index in the row's origins */
    unsigned int left_ms;             /* when the row was written */
};

const WB_WIRE_STORED_ORIGINS_MAX = 64;
const WB_WIRE_STORED_STARTS_MAX = 1500; /* with all origins less than the store's limit for a row */

/* A row of the streams table: starts that the controller's node has written in one batch. Readers
 * skip a row of a later format than theirs. */
struct wb_wire_stored_starts {
    unsigned int format_version;
    unsigned hyper written_ms; /* by the store's clock */
    wb_wire_stored_origin origins<WB_WIRE_STORED_ORIGINS_MAX>;
    wb_wire_stored_start entries<WB_WIRE_STORED_STARTS_MAX>;
};

/* A gateway asks the controller how a stream began. */
struct wb_wire_stream_query {
    opaque key[WB_WIRE_DIGEST_BYTES];
    wb_wire_name service; /* at which the stream began, if the path has led to no other; empty: it isn't
                           * known */
};

/* With the query: where the request leads that takes the stream up. */
struct wb_wire_stream_place {
    wb_wire_name host;
    wb_wire_text path;
    bool named; /* the client names the stream that it takes up */
};

/* With an answer that the start isn't known. */
struct wb_wire_stream_loss {
    bool is_lost; /* no other node can know it either */
};

struct wb_wire_stream_answer {
    opaque key[WB_WIRE_DIGEST_BYTES];
    bool known;
    wb_wire_name service;
    wb_wire_name software_version;
    unsigned int left_ms;
};

/* Asks a node to connect to an engine. If it does, everything after the answer passes between the two
 * connections as it comes, or from the engine in blocks (wb_wire_tunnel_form). */
struct wb_wire_tunnel_open {
    wb_wire_name node;    /* that asks */
    wb_wire_name request; /* id, for logs; empty: none */
    wb_wire_name engine;
    wb_wire_name incarnation; /* of the engine */
    wb_wire_name address;     /* of the engine */
};

/* With the question: the asking node reads blocks. With the answer: what comes from the engine is
 * sent in blocks: a length in 4 bytes, in network order, then so many bytes. A length of 0 says that
 * the engine closed its connection normally; without it, the end of the tunnel isn't the engine's. */
struct wb_wire_tunnel_form {
    bool in_blocks;
};

enum wb_wire_tunnel_result {
    WB_WIRE_TUNNEL_CONNECTED = 0,
    WB_WIRE_TUNNEL_UNREACHABLE = 1, /* the engine didn't accept in time */
    WB_WIRE_TUNNEL_REFUSED = 2,     /* nothing listens at the engine's address */
    WB_WIRE_TUNNEL_NOT_IN_USE = 3,  /* the node doesn't know the engine, or it is leaving */
    WB_WIRE_TUNNEL_BUSY = 4,        /* the node takes no tunnels now */
    WB_WIRE_TUNNEL_CUT_OFF = 5,     /* the node itself is cut off from the engine */
    WB_WIRE_TUNNEL_NO_SHARE = 6     /* it has no share of the engine's limit left */
};

struct wb_wire_tunnel_answer {
    unsigned int result; /* wb_wire_tunnel_result */
};

enum wb_wire_kind {
    WB_WIRE_HELLO = 1,
    WB_WIRE_HEARTBEAT = 2,
    WB_WIRE_GOSSIP = 3,
    WB_WIRE_SYNC = 4, /* requests all gossip of the receiver */
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
    WB_WIRE_ENGINE_SUBSCRIBE = 25, /* this and later kinds are sent only to readers of version 2 */
    WB_WIRE_ENGINE_UPDATE = 26,
    WB_WIRE_ENGINE_STATES = 27,
    WB_WIRE_CATALOG_FETCH = 28,
    WB_WIRE_CATALOG_ANSWER = 29,
    WB_WIRE_TUNNEL_OPEN = 30, /* this and the next only on connections of their own, not on links */
    WB_WIRE_TUNNEL_ANSWER = 31,
    WB_WIRE_STREAM_STARTS = 32,
    WB_WIRE_STREAM_QUERY = 33,
    WB_WIRE_STREAM_ANSWER = 34,
    WB_WIRE_TUNNEL_OPEN_COUNTED = 35 /* as WB_WIRE_TUNNEL_OPEN; the request counts in the receiver's
                                      * share of the engine's limit */
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
case WB_WIRE_CATALOG_FETCH:
    wb_wire_catalog_fetch catalog_fetch;
case WB_WIRE_CATALOG_ANSWER:
    wb_wire_catalog_answer catalog_answer;
case WB_WIRE_TUNNEL_OPEN:
case WB_WIRE_TUNNEL_OPEN_COUNTED:
    wb_wire_tunnel_open tunnel_open;
case WB_WIRE_TUNNEL_ANSWER:
    wb_wire_tunnel_answer tunnel_answer;
case WB_WIRE_STREAM_STARTS:
    wb_wire_stream_starts stream_starts;
case WB_WIRE_STREAM_QUERY:
    wb_wire_stream_query stream_query;
case WB_WIRE_STREAM_ANSWER:
    wb_wire_stream_answer stream_answer;
};
