/* Drops packets with classic BPF programs on sockets (SO_ATTACH_FILTER). */
#include "socket_filter.h"

#include <apr_portable.h>
#include <arpa/inet.h>
#include <glib.h>
#include <linux/filter.h>
#include <sys/socket.h>

#define IP_SOURCE_OFFSET 12 /* of the source address in an IPv4 header */
#define PASS_ALL_BYTES 0xffffffff

static int descriptor_of(apr_socket_t *socket) {
    int descriptor;
    apr_os_sock_get(&descriptor, socket);
    return descriptor;
}

static void program_attach(apr_socket_t *socket, GArray *program) {
    struct sock_fprog filter = {(unsigned short)program->len, (void *)program->data};
    if (setsockopt(descriptor_of(socket), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) !=
        0)
        g_error("can't attach a filter of %u instructions to a socket", program->len);
}

static void instruction_add(GArray *program, struct sock_filter instruction) {
    g_array_append_val(program, instruction);
}

void socket_filter_hosts(apr_socket_t *socket, char **hosts) {
    if (hosts == NULL || *hosts == NULL) {
        socket_filter_none(socket);
        return;
    }
    g_autoptr(GArray) program = g_array_new(FALSE, FALSE, sizeof(struct sock_filter));
    instruction_add(program, (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
                                                          SKF_NET_OFF + IP_SOURCE_OFFSET));
    for (char **host = hosts; *host != NULL; host++) {
        /* Equal: goes on to the drop; else jumps over it. */
        instruction_add(program, (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K,
                                                              ntohl(inet_addr(*host)), 0, 1));
        instruction_add(program, (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0));
    }
    instruction_add(program, (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, PASS_ALL_BYTES));
    program_attach(socket, program);
}

void socket_filter_all(apr_socket_t *socket) {
    g_autoptr(GArray) program = g_array_new(FALSE, FALSE, sizeof(struct sock_filter));
    instruction_add(program, (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0));
    program_attach(socket, program);
}

void socket_filter_none(apr_socket_t *socket) {
    int unused = 0;
    /* Fails when there is no filter, which is what is wanted. */
    setsockopt(descriptor_of(socket), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}
