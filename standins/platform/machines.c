/* The list of machines, each live, draining or removed. It shows changes after a lag. */
#include "platform.h"

#include "wickbridge/json.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>

typedef enum machine_state_t { MACHINE_LIVE, MACHINE_DRAINING, MACHINE_REMOVED } machine_state_t;

typedef struct machine_t {
    json_t *description; /* id, role, zone, address, service, memory_bytes */
    pid_t pid;
    machine_state_t state;       /* actual state */
    int64_t changed_ms;          /* when `state` changed */
    machine_state_t shown_state; /* state in the list */
    gboolean shown;
} machine_t;

static struct {
    GMutex lock;
    GHashTable *by_id;
    int64_t lag_ms;
    int64_t version;
    platform_mode_t mode;
} machines;

static void machine_free(gpointer data) {
    machine_t *machine = data;
    json_decref(machine->description);
    g_free(machine);
}

void machines_setup(int64_t lag_ms) {
    machines.by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, machine_free);
    machines.lag_ms = lag_ms;
}

void machines_set_fault(platform_mode_t mode) {
    g_mutex_lock(&machines.lock);
    machines.mode = mode;
    g_mutex_unlock(&machines.lock);
}

static int64_t now_ms(void) {
    return g_get_monotonic_time() / 1000;
}

static void state_change(machine_t *machine, machine_state_t state) {
    if (machine->state == state)
        return;
    machine->state = state;
    machine->changed_ms = now_ms();
}

/* A zombie, which its parent hasn't collected yet, counts as ended. */
static gboolean process_has_ended(pid_t pid) {
    if (kill(pid, 0) != 0 && errno == ESRCH)
        return TRUE;
    char path[64];
    g_snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return TRUE;
    const char *after_name = strrchr(text, ')');
    return after_name != NULL && (after_name[2] == 'Z' || after_name[2] == 'X');
}

void machines_tick(void) {
    g_mutex_lock(&machines.lock);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines.by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        machine_t *machine = value;
        if (machine->state != MACHINE_REMOVED && machine->pid > 0 &&
            process_has_ended(machine->pid))
            state_change(machine, MACHINE_REMOVED);
        gboolean due = now_ms() - machine->changed_ms >= machines.lag_ms;
        if (due && (!machine->shown || machine->shown_state != machine->state)) {
            machine->shown = TRUE;
            machine->shown_state = machine->state;
            machines.version++;
        }
    }
    g_mutex_unlock(&machines.lock);
}

void machines_register(wb_http_exchange_t *exchange) {
    json_t *body = standin_read_json(exchange);
    if (body == NULL)
        return;
    machine_t *machine = g_new0(machine_t, 1);
    machine->pid = (pid_t)wb_json_integer(body, "pid", 0);
    machine->state = MACHINE_LIVE;
    json_object_del(body, "pid");
    machine->description = body;
    /* Listed at once: the program that starts a machine would wait for the list anyway. */
    machine->shown = TRUE;
    g_mutex_lock(&machines.lock);
    machines.version++;
    g_hash_table_replace(machines.by_id, g_strdup(wb_json_text(body, "id", "?")), machine);
    g_mutex_unlock(&machines.lock);
    standin_reply_json(exchange, 200, json_object());
}

void machines_drain(wb_http_exchange_t *exchange) {
    json_t *body = standin_read_json(exchange);
    if (body == NULL)
        return;
    g_mutex_lock(&machines.lock);
    machine_t *machine = g_hash_table_lookup(machines.by_id, wb_json_text(body, "id", ""));
    if (machine != NULL && machine->state == MACHINE_LIVE)
        state_change(machine, MACHINE_DRAINING);
    g_mutex_unlock(&machines.lock);
    json_decref(body);
    standin_reply_json(exchange, machine != NULL ? 200 : 404, json_object());
}

static json_t *list_describe(void) {
    static const char *const names[] = {"live", "leaving", "gone"};
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines.by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        machine_t *machine = value;
        if (!machine->shown)
            continue;
        json_t *entry = json_copy(machine->description);
        json_object_set_new(entry, "state", json_string(names[machine->shown_state]));
        json_array_append_new(list, entry);
    }
    return list;
}

void machines_handle(wb_http_exchange_t *exchange) {
    g_mutex_lock(&machines.lock);
    platform_mode_t mode = machines.mode;
    const char *after = wb_http_exchange_query(exchange, "after");
    int64_t version = machines.version;
    gboolean unchanged = after != NULL && g_ascii_strtoll(after, NULL, 10) == version;
    json_t *list = mode == PLATFORM_UP && !unchanged ? list_describe() : NULL;
    g_mutex_unlock(&machines.lock);
    if (mode == PLATFORM_HANG)
        platform_hang(exchange);
    else if (mode == PLATFORM_REFUSE)
        standin_reply_error(exchange, 503, "unavailable", "The machine list is down.", 1000);
    else if (list == NULL)
        standin_reply_json(exchange, 200, json_pack("{s:I}", "version", (json_int_t)version));
    else
        standin_reply_json(
            exchange, 200,
            json_pack("{s:I, s:o}", "version", (json_int_t)version, "machines", list));
}
