/* Parses configurations on a worker thread. */
#include "edge/catalog_reader.h"

#include <string.h>

/* Larger values are parsed on a worker thread. Parsing a smaller one on the loop delays the events
 * of streams by an acceptable time: 5 ms on a whole core, 40 ms on an eighth of one, of the 120 ms
 * that an event may be late. */
#define INLINE_MAX_BYTES (64 * 1024)

/* One row to parse. */
typedef struct wb_catalog_job_t {
    wb_catalog_reader_t *reader;
    guchar *value;
    gsize length;
    int64_t row_version;
    int64_t taken_ms;
    wb_catalog_t *catalog;
    wb_error_t error;
} wb_catalog_job_t;

struct wb_catalog_reader_t {
    wb_loop_t *loop;
    const wb_dialect_t *dialect;
    wb_catalog_read_fn on_read;
    void *context;
    gboolean busy;          /* a thread is parsing */
    int64_t busy_since_ms;  /* when its row was taken */
    wb_catalog_job_t *next; /* the newest row that arrived meanwhile, or NULL */
};

wb_catalog_reader_t *wb_catalog_reader_create(wb_loop_t *loop, const wb_dialect_t *dialect,
                                              wb_catalog_read_fn on_read, void *context) {
    wb_catalog_reader_t *reader = g_new0(wb_catalog_reader_t, 1);
    reader->loop = loop;
    reader->dialect = dialect;
    reader->on_read = on_read;
    reader->context = context;
    return reader;
}

static wb_catalog_job_t *job_create(wb_catalog_reader_t *reader, const wb_table_row_t *row) {
    wb_catalog_job_t *job = g_new0(wb_catalog_job_t, 1);
    job->reader = reader;
    job->value = g_memdup2(row->value, row->length);
    job->length = row->length;
    job->row_version = row->version;
    job->taken_ms = wb_clock_ms();
    return job;
}

static void job_free(wb_catalog_job_t *job) {
    g_free(job->value);
    g_free(job);
}

static void job_parse(wb_catalog_job_t *job) {
    job->catalog = job->reader->dialect->catalog_parse(job->value, job->length, &job->error);
}

/* Calls on_read, on the loop's thread. */
static void job_deliver(wb_catalog_job_t *job) {
    const wb_catalog_reader_t *reader = job->reader;
    reader->on_read(job->catalog, job->row_version, wb_clock_ms() - job->taken_ms, &job->error,
                    reader->context);
    job_free(job);
}

static void job_start(wb_catalog_job_t *job);

static void job_done(void *context) {
    wb_catalog_job_t *job = context;
    wb_catalog_reader_t *reader = job->reader;
    reader->busy = FALSE;
    job_deliver(job);
    wb_catalog_job_t *next = reader->next;
    reader->next = NULL;
    if (next != NULL) {
        job_start(next);
    }
}

static gpointer thread_run(gpointer data) {
    wb_catalog_job_t *job = data;
    job_parse(job);
    wb_loop_post(job->reader->loop, job_done, job);
    return NULL;
}

static void job_start(wb_catalog_job_t *job) {
    GThread *thread = g_thread_try_new("catalog", thread_run, job, NULL);
    if (thread == NULL) {
        /* No thread could be started: parse on the loop instead. */
        job_parse(job);
        job_deliver(job);
        return;
    }
    job->reader->busy = TRUE;
    job->reader->busy_since_ms = job->taken_ms;
    g_thread_unref(thread);
}

void wb_catalog_reader_take(wb_catalog_reader_t *reader, const wb_table_row_t *row) {
    wb_catalog_job_t *job = job_create(reader, row);
    if (reader->busy) {
        if (reader->next != NULL) {
            job_free(reader->next);
        }
        reader->next = job;
    } else if (row->length <= INLINE_MAX_BYTES) {
        job_parse(job);
        job_deliver(job);
    } else {
        job_start(job);
    }
}

int64_t wb_catalog_reader_pending_since_ms(const wb_catalog_reader_t *reader) {
    return reader->busy ? reader->busy_since_ms : 0;
}
