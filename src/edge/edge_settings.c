/* The settings of an edge node: command-line flags, settings file, help text and docs/SETTINGS.md
 * are all derived from this table. */
#include "edge/node_row.h"

#include "wickbridge/edge.h"

#include <glib.h>

#define ROW(name, type, unit, min, max, default_value, field, text)                                \
    { name, type, unit, min, max, default_value, offsetof(wb_edge_settings_t, field), text }

static const wb_setting_t rows[] = {
    ROW("id", WB_SETTING_TEXT, "", 0, 0, NULL, id,
        "Name of this node's machine; the same after a restart there"),
    ROW("zone", WB_SETTING_TEXT, "", 0, 0, NULL, zone, "Zone of this node"),
    ROW("zone-regions", WB_SETTING_TEXT, "", 0, 0, "", zone_regions,
        "Region that each zone lies in: ZONE=REGION with commas between; empty: not told, and "
        "routes "
        "and tenants that name regions are served nowhere"),
    ROW("listen-callers", WB_SETTING_ADDRESS, "", 0, 0, NULL, listen_callers,
        "Address for callers"),
    ROW("listen-ready", WB_SETTING_ADDRESS, "", 0, 0, NULL, listen_ready,
        "Address where GET /ready answers 200 while the node takes requests"),
    ROW("listen-nodes", WB_SETTING_ADDRESS, "", 0, 0, NULL, listen_nodes,
        "Address for other nodes"),
    ROW("advertise-nodes", WB_SETTING_ADDRESS, "", 0, 0, "", advertise_nodes,
        "Address that other nodes are told; empty: that of listen-nodes"),
    ROW("listen-tunnels", WB_SETTING_ADDRESS, "", 0, 0, "", listen_tunnels,
        "Address where this node connects to engines for nodes that can't reach them; empty: none"),
    ROW("advertise-tunnels", WB_SETTING_ADDRESS, "", 0, 0, "", advertise_tunnels,
        "Address for that which other nodes are told; empty: that of listen-tunnels"),
    ROW("listen-operators", WB_SETTING_ADDRESS, "", 0, 0, "", listen_operators,
        "Address for operators and metrics; empty: none"),
    ROW("bind-host", WB_SETTING_TEXT, "", 0, 0, "", bind_host,
        "Local IP of connections to engines; empty: any"),
    ROW("store", WB_SETTING_ADDRESS, "", 0, 0, NULL, store, "Address of the store"),
    ROW("log-lines-per-s", WB_SETTING_INTEGER, "lines", 1, 100000, "100", log_lines_per_s,
        "Most log lines of one kind in a second"),
    ROW("stop-grace-s", WB_SETTING_REAL, "s", 0, 86400, "8", stop_grace_s,
        "Time that a planned stop may take"),
    ROW("drain-ms", WB_SETTING_INTEGER, "ms", 0, 3600000, "2000", drain_ms,
        "Time after which an engine that leaves must get no more requests"),
    ROW("catalog-ms", WB_SETTING_INTEGER, "ms", 1, 3600000, "2000", catalog_ms,
        "Time within which a change of the configuration must be in force"),
    ROW("evacuate-ms", WB_SETTING_INTEGER, "ms", 0, 3600000, "0", evacuate_ms,
        "Time after which engines of a zone that is evacuated must get no more requests; what is "
        "beyond catalog-ms is used to load elsewhere what they alone hold"),
    ROW("cold-overage", WB_SETTING_REAL, "", 0, 1000, "1", cold_overage,
        "Times the requests a second that a cold engine bears which it may get"),
    ROW("cold-slack", WB_SETTING_REAL, "requests", 0, 1000000, "0", cold_slack,
        "Requests beyond that in any second, from all nodes together"),
    ROW("engine-heartbeat-ms", WB_SETTING_INTEGER, "ms", 1, 3600000, "1200", engine_heartbeat_ms,
        "Time between the announcements of an engine"),
    ROW("lease-quiet-ms", WB_SETTING_INTEGER, "ms", 0, 3600000, "3000", lease_quiet_ms,
        "Time that must lie between the orders of two controllers"),
    ROW("lease-duration-ms", WB_SETTING_INTEGER, "ms", 100, 3600000, "1600", lease_duration_ms,
        "Time for which a renewal lets the controller act"),
    ROW("lease-renew-ms", WB_SETTING_INTEGER, "ms", 10, 3600000, "500", lease_renew_ms,
        "Time between renewals of the controller's lease"),
    ROW("lease-margin-ms", WB_SETTING_INTEGER, "ms", 0, 60000, "200", lease_margin_ms,
        "Added when a lease is waited out, taken off when it is used"),
    ROW("processor-share", WB_SETTING_REAL, "cores", 0, WB_NODE_PROCESSOR_SHARE_MAX, "0",
        processor_share,
        "Processor that this machine gives the node; the nodes that have most take the lease "
        "first. "
        "0: not told"),
    ROW("retry-ratio", WB_SETTING_REAL, "resends", 0, 100, "0.2", retry_ratio,
        "Resends to engines for each request, over all nodes"),
    ROW("retry-window-s", WB_SETTING_REAL, "s", 1, 3600, "10", retry_window_s,
        "Window in which resends are counted"),
    ROW("retry-slack", WB_SETTING_REAL, "resends", 0, 1000000, "54", retry_slack,
        "Resends in a window beyond the ratio, over all nodes; a node has its part once all others "
        "count it"),
    ROW("resume-window-s", WB_SETTING_REAL, "s", 1, 3600, "30", resume_window_s,
        "Longest time from a stream's first event until its caller takes it up again"),
    ROW("stream-batch-ms", WB_SETTING_INTEGER, "ms", 50, 10000, "500", stream_batch_ms,
        "Interval at which the controller's node writes starts of streams to the store, while a "
        "service has several software versions"),
    ROW("stream-age-max-s", WB_SETTING_REAL, "s", 1, 604800, "86400", stream_age_max_s,
        "Max age of a stream that its caller takes up; for so long it counts that a service had "
        "another software version, or a path led to another service"),
    ROW("poison-kept-s", WB_SETTING_REAL, "s", 1, 86400, "600", poison_kept_s,
        "Time after its last crash for which a request that crashes engines is refused"),
    ROW("poison-trial-s", WB_SETTING_REAL, "s", 0.1, 86400, "60", poison_trial_s,
        "Time after which one node tries such a request, to find out whether it still does; then "
        "after four times that, and so on"),
    ROW("load-window-s", WB_SETTING_REAL, "s", 1, 3600, "5", load_window_s,
        "Window in which loads from the weight store are counted"),
    ROW("connect-timeout-ms", WB_SETTING_INTEGER, "ms", 10, 60000, "250", connect_timeout_ms,
        "Longest time to connect to an engine"),
    ROW("silence-limit-ms", WB_SETTING_INTEGER, "ms", 100, 60000, "1500", silence_limit_ms,
        "A request that an engine doesn't acknowledge for so long ends the connection"),
    ROW("store-timeout-ms", WB_SETTING_INTEGER, "ms", 50, 60000, "900", store_timeout_ms,
        "Time after which the store's answer counts as lost"),
    ROW("node-life-s", WB_SETTING_REAL, "s", 1, 86400, "180", node_life_s,
        "A node whose row in the store hasn't changed for so long isn't counted any more"),
    ROW("engine-rows-most", WB_SETTING_INTEGER, "rows", 0, 1000000000, "500", engine_rows_most,
        "Engines beyond which only the strongest machines read their table, and the others ask "
        "those "
        "for what their callers need; 0: each node always reads it"),
    ROW("order-timeout-ms", WB_SETTING_INTEGER, "ms", 50, 60000, "400", order_timeout_ms,
        "Time after which an engine's answer to an order or a report counts as lost"),
    ROW("engine-poll-ms", WB_SETTING_INTEGER, "ms", 10, 60000, "300", engine_poll_ms,
        "Shortest time between two looks for changes of engines, when nobody waits"),
    ROW("store-look-s", WB_SETTING_REAL, "s", 0, 3600, "120", store_look_s,
        "Longest time between own looks at the store while the controller tells what it reads"),
    ROW("demand-interval-ms", WB_SETTING_INTEGER, "ms", 10, 60000, "250", demand_interval_ms,
        "Time between messages to the controller about what is asked for"),
    ROW("adapter-load-ms", WB_SETTING_INTEGER, "ms", 0, 60000, "40", adapter_load_ms,
        "Time after which an adapter that was ordered is counted on"),
    ROW("answer-buffer-bytes", WB_SETTING_INTEGER, "bytes", 1024, 1 << 30, "65536",
        answer_buffer_bytes, "Answers up to this size are read whole before they are passed on"),
    ROW("prefill-tokens-per-ms", WB_SETTING_REAL, "tokens", 1, 1000000, "30", prefill_tokens_per_ms,
        "Prompt tokens that a usual engine is taken to read in a millisecond"),
    ROW("step-ms", WB_SETTING_REAL, "ms", 0.01, 10000, "5.3", step_ms,
        "Time in which each stream of a usual engine gets a token while no prompt is read"),
    ROW("read-piece-tokens", WB_SETTING_INTEGER, "tokens", 1, 1000000, "2048", read_piece_tokens,
        "Prompt tokens that an engine reads at most between two tokens of its streams"),
    ROW("event-tokens", WB_SETTING_INTEGER, "tokens", 1, 1000, "5", event_tokens,
        "Tokens that an event of a stream holds"),
    ROW("engine-pace", WB_SETTING_INTEGER, "", 0, 1, "1", engine_pace,
        "1: requests and models are placed by how long work takes at each engine, and by what a "
        "prompt does to streams there; 0: all engines count as alike"),
    ROW("quota-order", WB_SETTING_INTEGER, "", 0, 1, "1", quota_order,
        "1: of a tenant that is short of its limit, cheap and urgent kinds of request go first; 0: "
        "all kinds alike"),
    ROW("admission", WB_SETTING_INTEGER, "", 0, 1, "1", admission,
        "1: a request whose answer is predicted far beyond its target at every engine is refused "
        "at once; 0: it is sent all the same"),
    ROW("load-news-ms", WB_SETTING_INTEGER, "ms", 0, 60000, "500", load_news_ms,
        "Time between messages to gateways about what all of them send to engines; 0: none"),
    ROW("load-news-bytes-per-s", WB_SETTING_INTEGER, "bytes", 1000, 1 << 30, "200000",
        load_news_bytes_per_s, "Most bytes a second for these messages, to all gateways together"),
};

const wb_settings_table_t wb_edge_settings_table = {
    "wickbridge-edge",
    "An edge node: takes callers' requests, sends them to engines, and may hold the controller's "
    "lease.",
    rows, G_N_ELEMENTS(rows)};
