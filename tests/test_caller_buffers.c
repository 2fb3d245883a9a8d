/* Tests of caller: accounting of buffered bytes. */
#include "caller_world.h"

#define READ_US 3000000
#define SMALL_BUFFERS 10000 /* less than two bodies */
#define BODY_BYTES 6000

static void
post(World *w, const char *header)
{
    char head[256];
    char body[BODY_BYTES + 1];

    memset(body, 'b', BODY_BYTES);
    body[BODY_BYTES] = '\0';
    g_snprintf(head, sizeof(head),
               "POST / HTTP/1.1\r\nHost: t\r\n%sContent-Length: %d\r\n\r\n",
               header, BODY_BYTES);
    send_text(w, head);
    send_text(w, body);
}

/* Serves a request with this header, then one of another client while the
 * connection of the first one stays open. */
static void
post_twice(const char *header)
{
    World w;

    world_init(&w, 10);
    world_open_set(&w, SMALL_BUFFERS, 5 * IDLE_US);
    connect_client(&w, 0);
    int first = w.client;
    post(&w, header);
    run(&w);
    ck_assert_int_eq(w.requests, 1);
    connect_client(&w, 0);
    post(&w, "Connection: close\r\n");
    ck_assert(receive_all(&w, READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 200 "), 1);
    close(first);
    world_clear(&w);
}

START_TEST(a_body_that_was_answered_uses_no_buffer_memory_on_a_kept_connection)
{
    post_twice("");
}
END_TEST

START_TEST(a_body_that_was_answered_uses_no_buffer_memory_after_a_close)
{
    post_twice("Connection: close\r\n");
}
END_TEST

T_MAIN("caller_buffers",
       a_body_that_was_answered_uses_no_buffer_memory_on_a_kept_connection,
       a_body_that_was_answered_uses_no_buffer_memory_after_a_close)
