/*
 * limits.h - sizes, counts and times that all modules share.
 *
 * Suffixes of the names give the unit: _BYTES, _MS, _US.  Names without such a
 * suffix are counts.
 */
#ifndef MIMOSA_LIMITS_H
#define MIMOSA_LIMITS_H

/* Names and texts.  NAME_BYTES, ADDR_BYTES and ERR_TEXT_BYTES include the
 * terminator; KEY_BYTES does not. */
#define NAME_BYTES 64         /* a name in the manifest */
#define ADDR_BYTES 64         /* "ADDRESS:PORT" */
#define ERR_TEXT_BYTES 384    /* an error text with its remedy */
#define KEY_BYTES 128         /* an idempotency key */
#define PATH_PREFIX_BYTES 128 /* a path rule of a service */

/* Manifest. */
#define REGIONS_MAX 16
#define ZONES_MAX 48
#define SITES_MAX 256
#define RANKS_MAX 4
#define SERVICES_MAX 32
#define TARGETS_MAX 4096
#define LINKS_MAX 256
#define DRAINS_MAX 256
#define PATH_RULES_MAX 8  /* per service */
#define BLOCKS_MAX 500000 /* address blocks of clients in a block table */
#define MANIFEST_BYTES_MAX (8 * 1024 * 1024)
#define JSON_DEPTH_MAX 64 /* nested arrays and objects in a text */
#define STORE_VALUE_BYTES_MAX (1024 * 1024)
#define STORE_PAGE_ITEMS 500     /* items in a page of a list, about */
#define STORE_PAGE_BYTES 1000000 /* values in a page of a list, about */
#define STORE_ITEM_BYTES 1500    /* key and other fields of an item, as JSON */
#define SLOTS_PER_TARGET_MAX 1024
#define CONNECTIONS_PER_TARGET_MAX 4096
#define DEADLINE_MS_MAX 600000
#define SHIFT_INTERVAL_MS_MAX 3600000

/* Configuration and entries of the platform. */
#define SERVICE_CONNECTIONS_MAX 1000000
#define SERVICE_COLD_PER_S_MAX 1e9 /* requests per second */
#define ROUTE_RANK_MAX 65535
#define ROUTE_ATTEMPTS_MAX 1000
#define ROUTE_WEIGHT_MAX 1e9
#define CONFIG_HEAD_BYTES_MAX (16 * 1024 * 1024)
#define CONFIG_BODY_BYTES_MAX (1024 * 1024 * 1024)

/* Fleet. */
#define LINK_MBPS_DEFAULT 100.0 /* rate of a VM's link if not set */
#define LINK_MBPS_MIN 0.1
#define LINK_MBPS_MAX 1e6
#define VMS_PER_ZONE_MAX 64
#define VMS_MAX 512
#define KEY_RANGES 64 /* ranges of idempotency keys in a zone */

/* Membership and ownership. */
#define HEARTBEAT_MS 500
#define DIGEST_MS 1000
#define SUSPECT_MS 1200
#define REMOVE_MS 2000
#define OWN_LAPSE_MS 1000        /* validity L of a confirmed roster */
#define CLOCK_RATE_ERROR 0.10    /* rate difference of two monotonic clocks */
#define WALL_CLOCK_ERROR_MS 5000 /* offset of a wall clock */

/* Requests. */
#define HEAD_BYTES_MAX 16384
#define CHUNK_FRAMING_BYTES 16384 /* a line of a chunk size, or a trailer */
#define BODY_HASH_BYTES 65536     /* bytes of a body that are fingerprinted */
#define BODY_BYTES_MAX (16 * 1024 * 1024)
#define HOPS_MAX 2
#define QUEUE_MAX 4096    /* queued requests of a service */
#define INFLIGHT_MAX 8192 /* open requests of an entry VM */
#define CALLER_CONNECTIONS_MAX 4096
#define CALLER_IDLE_MS 30000

/* Idempotency records. */
#define IDEM_RECORDS_MAX 200000
/* Limits the total of stored bodies: 200,000 records of 8 KB would take
 * 1.6 GB. */
#define IDEM_BODIES_BYTES_MAX (64 * 1024 * 1024)
#define IDEM_BODY_BYTES 8192  /* body stored to replay an answer */
#define IDEM_WINDOW_MS 600000 /* resends are accepted for this time */
/* Records are kept longer than the window by the clock error of both
 * sides. */
#define IDEM_RETENTION_MS (IDEM_WINDOW_MS + 2 * WALL_CLOCK_ERROR_MS)

/* Suspects: requests in flight when an upstream crashed. */
#define SUSPECTS_MAX 65536
#define SUSPECT_WAIT_MS 150 /* wait for acknowledgements of the zones */
#define CONVICTED_MS 600000 /* refusal of a convicted request */

/* RPC. */
#define RPC_FRAME_BYTES_MAX (1024 * 1024)
#define RPC_TIMEOUT_MS 400

/* Store client. */
#define STORE_TIMEOUT_MS 1000
#define STORE_BACKOFF_MIN_MS 100
#define STORE_BACKOFF_MAX_MS 10000
#define STORE_CALLS_PER_S 2.0  /* rate limit of a VM */
#define STORE_CALLS_BURST 10.0 /* calls allowed at once */

/* Health. */
#define REPORT_STALE_MS 3000  /* older health reports are ignored */
#define LEAVING_BOUND_MS 2000 /* new work stops after the first signal */

/* Answers of the lookup service. */
#define LOOKUP_ENTRIES 3
#define LOOKUP_LIFETIME_MIN_MS 2000
#define LOOKUP_LIFETIME_MAX_MS 10000

#endif
