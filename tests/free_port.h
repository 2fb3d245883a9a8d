/*
 * free_port - an address on loopback with a port that nothing listens on.
 */
#ifndef MIMOSA_FREE_PORT_H
#define MIMOSA_FREE_PORT_H

#include "t.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/* The port is taken from a socket that is closed at once. */
static inline struct sockaddr_in
free_loopback_address(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    int probe = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(bind(probe, (struct sockaddr *)&at, len), 0);
    ck_assert_int_eq(getsockname(probe, (struct sockaddr *)&at, &len), 0);
    close(probe);
    return at;
}

/* Listens on a free port of loopback, which is then in *at.  Returns the
 * socket, which does not block. */
static inline int
listen_on_loopback(struct sockaddr_in *at)
{
    socklen_t len = sizeof(*at);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    *at = (struct sockaddr_in){.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    ck_assert_int_eq(bind(fd, (struct sockaddr *)at, len), 0);
    ck_assert_int_eq(listen(fd, 8), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)at, &len), 0);
    return fd;
}

#endif
