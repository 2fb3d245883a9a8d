/*
 * delay_datagrams - shared library for LD_PRELOAD that delays the datagrams
 * which a process sends, as a network with long queues does.
 *
 * DATAGRAM_DELAY_MS in the environment: the delay; -1: they are lost.
 */
#include <dlfcn.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define STEP_US 1000

typedef struct Datagram {
    struct Datagram *next;
    long long due_us;
    int fd;
    struct sockaddr_in to;
    size_t n;
    char bytes[];
} Datagram;

typedef ssize_t (*SendFn)(int, const void *, size_t, int,
                          const struct sockaddr *, socklen_t);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Datagram *first;
static Datagram **last = &first;
static SendFn send_now;
static long long delay_us;

static long long
clock_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000000LL + t.tv_nsec / 1000;
}

static void *
run(void *unused)
{
    (void)unused;
    for (;;) {
        usleep(STEP_US);
        pthread_mutex_lock(&lock);
        while (first != NULL && first->due_us <= clock_us()) {
            Datagram *d = first;
            send_now(d->fd, d->bytes, d->n, MSG_DONTWAIT | MSG_NOSIGNAL,
                     (const struct sockaddr *)&d->to, sizeof(d->to));
            first = d->next;
            last = first == NULL ? &first : last;
            free(d);
        }
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

/* The program takes its signals from a descriptor, so the thread must block
 * all of them. */
static void
start(void)
{
    const char *ms = getenv("DATAGRAM_DELAY_MS");
    sigset_t all;
    sigset_t before;
    pthread_t thread;

    delay_us = ms == NULL ? 0 : atoll(ms) * 1000;
    send_now = (SendFn)dlsym(RTLD_NEXT, "sendto");
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &before);
    pthread_create(&thread, NULL, run, NULL);
    pthread_sigmask(SIG_SETMASK, &before, NULL);
}

ssize_t
sendto(int fd, const void *bytes, size_t n, int flags,
       const struct sockaddr *to, socklen_t to_size)
{
    int type = 0;
    socklen_t type_size = sizeof(type);

    pthread_mutex_lock(&lock);
    if (send_now == NULL) {
        start();
    }
    pthread_mutex_unlock(&lock);
    getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_size);
    if (type != SOCK_DGRAM || to_size != sizeof(struct sockaddr_in)) {
        return send_now(fd, bytes, n, flags, to, to_size);
    }
    Datagram *d = delay_us < 0 ? NULL : malloc(sizeof(*d) + n);
    if (d != NULL) {
        d->next = NULL;
        d->due_us = clock_us() + delay_us;
        d->fd = fd;
        memcpy(&d->to, to, sizeof(d->to));
        d->n = n;
        memcpy(d->bytes, bytes, n);
        pthread_mutex_lock(&lock);
        *last = d;
        last = &d->next;
        pthread_mutex_unlock(&lock);
    }
    return (ssize_t)n;
}
