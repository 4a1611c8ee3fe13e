/* Starts, signals and reaps the child processes of a test. */
#include "harness_types.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

#define MOST_PROCESSES 256

/* Child processes to kill if the test aborts. */
static volatile pid_t started[MOST_PROCESSES];
static volatile sig_atomic_t started_count;

static void abort_handle(int number) {
    for (int i = 0; i < started_count; i++)
        kill(started[i], SIGKILL);
    signal(number, SIG_DFL);
    raise(number);
}

static void abort_register(pid_t pid) {
    if (started_count == 0) {
        signal(SIGABRT, abort_handle);
        signal(SIGTERM, abort_handle);
        signal(SIGINT, abort_handle);
        signal(SIGTRAP, abort_handle);
    }
    g_assert_cmpint(started_count, <, MOST_PROCESSES);
    started[started_count] = pid;
    started_count = started_count + 1;
}

/* The id of a reaped process may be reused. */
static void abort_unregister(pid_t pid) {
    for (int i = 0; i < started_count; i++)
        if (started[i] == pid) {
            started[i] = started[started_count - 1];
            started_count = started_count - 1;
            return;
        }
}

int64_t harness_now_ms(void) {
    return g_get_monotonic_time() / 1000;
}

#define FIRST_PORT 20000
#define LAST_PORT 32000 /* below the ephemeral port range */
#define PORT_STRIDE 149
#define PORTS_KEPT 400 /* more than the processes that run at a time have */
/* A folder with a file for each port. */
#define PORT_LOCKS "wickbridge-test-ports"

/* Keeps a port for this program, so that none that runs beside it takes the port between the search
 * and the start of a process. The oldest of PORTS_KEPT is given up for it.
 * Returns FALSE if another program has it. */
static gboolean port_keep(int port) {
    static int kept[PORTS_KEPT];
    static unsigned next;
    g_autofree char *folder = g_build_filename(g_get_tmp_dir(), PORT_LOCKS, NULL);
    g_autofree char *path = g_strdup_printf("%s/%d", folder, port);
    g_assert_cmpint(g_mkdir_with_parents(folder, 0777), ==, 0);
    int descriptor = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    g_assert_cmpint(descriptor, >=, 0);
    if (flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
        close(descriptor);
        return FALSE;
    }
    int *oldest = &kept[next++ % PORTS_KEPT];
    if (*oldest != 0)
        close(*oldest);
    *oldest = descriptor;
    return TRUE;
}

static gboolean port_is_free(int port) {
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                  .sin_port = htons((uint16_t)port)};
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    gboolean free_port = bind(descriptor, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(descriptor);
    return free_port;
}

/* Test programs that run in parallel search from different start ports. */
int port_find(void) {
    static int next;
    if (next == 0)
        next = FIRST_PORT + (int)getpid() * PORT_STRIDE % (LAST_PORT - FIRST_PORT);
    do {
        if (++next >= LAST_PORT)
            next = FIRST_PORT;
    } while (!port_is_free(next) || !port_keep(next));
    return next;
}

void process_prepare(cluster_t *cluster, process_t *process, const char *name, const char *program,
                     GPtrArray *arguments) {
    g_strlcpy(process->name, name, sizeof(process->name));
    process->program = g_build_filename(cluster->build, program, NULL);
    process->log_path = g_strdup_printf("%s/%s.log", cluster->folder, name);
    g_ptr_array_insert(arguments, 0, g_strdup(process->program));
    g_ptr_array_add(arguments, NULL);
    process->arguments = (char **)g_ptr_array_free(arguments, FALSE);
}

void process_start(process_t *process) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, process->log_path, O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    int failure =
        posix_spawn(&process->pid, process->program, &actions, NULL, process->arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        g_error("can't start %s: %s", process->program, strerror(failure));
    abort_register(process->pid);
}

void process_signal(process_t *process, int signal) {
    if (process->pid > 0)
        kill(process->pid, signal);
}

void process_kill(process_t *process) {
    if (process->pid <= 0)
        return;
    kill(process->pid, SIGKILL);
    waitpid(process->pid, NULL, 0);
    abort_unregister(process->pid);
    process->pid = 0;
}

int process_stop(process_t *process, int timeout_ms) {
    if (process->pid <= 0)
        return -1;
    kill(process->pid, SIGTERM);
    int64_t until_ms = harness_now_ms() + timeout_ms;
    while (harness_now_ms() < until_ms) {
        int status;
        if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
            abort_unregister(process->pid);
            process->pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        g_usleep(10000);
    }
    return -1;
}

void process_clear(process_t *process) {
    process_kill(process);
    g_free(process->program);
    g_free(process->log_path);
    g_strfreev(process->arguments);
    memset(process, 0, sizeof(*process));
}
