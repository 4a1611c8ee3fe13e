/* Makes most nodes weak machines, on slow links and with little processor: a node runs until its
 * share of a period is spent, then stands still until the next one. */
#include "soak.h"

#include <signal.h>
#include <sys/pidfd.h>
#include <time.h>
#include <unistd.h>

#define PERIOD_MS 100
#define CHECK_US 3000
#define LINK_BYTES_PER_S 1250000 /* 10 Mbit/s */
/* Nodes from this one on are limited; those before are strong machines. */
#define FIRST_LIMITED 2

/* A limited process. The file descriptor names it even after its id was reused. */
typedef struct limited_t {
    pid_t pid; /* 0: none */
    int descriptor;
    int64_t spent_us; /* of processor time, at the start of the period */
    gboolean stopped;
} limited_t;

static int64_t processor_us(pid_t pid) {
    clockid_t clock;
    struct timespec time;
    if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return 0;
    }
    return (int64_t)time.tv_sec * G_USEC_PER_SEC + time.tv_nsec / 1000;
}

static void limited_open(limited_t *limited, pid_t pid) {
    if (limited->pid != 0) {
        close(limited->descriptor);
    }
    *limited = (limited_t){0};
    int descriptor = pid > 0 ? pidfd_open(pid, 0) : -1;
    if (descriptor >= 0) {
        *limited = (limited_t){pid, descriptor, processor_us(pid), FALSE};
    }
}

static void limited_resume(soak_t *soak, int node, limited_t *limited) {
    if (limited->stopped && !g_atomic_int_get(&soak->paused[node])) {
        pidfd_send_signal(limited->descriptor, SIGCONT, NULL, 0);
    }
    limited->stopped = FALSE;
}

static gpointer limit_run(gpointer data) {
    soak_t *soak = data;
    limited_t limited[SOAK_NODES_MAX] = {0};
    int64_t period = 0;
    while (!g_atomic_int_get(&soak->processor_stop)) {
        int64_t current = harness_now_ms() / PERIOD_MS;
        gboolean begins = current != period;
        period = current;
        for (int node = FIRST_LIMITED; node < soak->nodes; node++) {
            limited_t *process = &limited[node];
            pid_t pid = g_atomic_int_get(&soak->estate->nodes[node].process.pid);
            if (pid != process->pid) {
                limited_open(process, pid);
            } else if (pid != 0 && begins) {
                process->spent_us = processor_us(pid);
                limited_resume(soak, node, process);
            } else if (pid != 0 && !process->stopped &&
                       processor_us(pid) - process->spent_us >
                           soak->processor_percent * PERIOD_MS * 10) {
                process->stopped = pidfd_send_signal(process->descriptor, SIGSTOP, NULL, 0) == 0;
            }
        }
        g_usleep(CHECK_US);
    }
    for (int node = FIRST_LIMITED; node < soak->nodes; node++) {
        limited_resume(soak, node, &limited[node]);
        limited_open(&limited[node], 0);
    }
    return NULL;
}

void soak_processor_limit(soak_t *soak, GPtrArray *threads) {
    if (soak->processor_percent > 0) {
        for (int node = FIRST_LIMITED; node < soak->nodes; node++) {
            estate_store_rate(soak->estate, node, LINK_BYTES_PER_S);
            estate_link_rate(soak->estate, node, LINK_BYTES_PER_S);
        }
        g_ptr_array_add(threads, g_thread_new("processor", limit_run, soak));
    }
}
