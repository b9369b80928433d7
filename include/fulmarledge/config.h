#pragma once

/// Compile-time defaults. To override one, define its macro before including this header or on the compiler's command
/// line.

/// Largest manifest accepted, in bytes. The platform stores values up to 1 MB.
#ifndef FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES
#define FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES 1000000
#endif

/// Newest acceptances that the `head` object lists. Bounds how far back the outcome of a submission whose reply was
/// lost can be looked up.
#ifndef FULMARLEDGE_CONFIG_HEAD_RECENT
#define FULMARLEDGE_CONFIG_HEAD_RECENT 32
#endif

/// Manifest versions that each node keeps to compute deltas for peers that have an older version.
#ifndef FULMARLEDGE_CONFIG_KEPT_MANIFESTS
#define FULMARLEDGE_CONFIG_KEPT_MANIFESTS 16
#endif

/// Largest control datagram, in bytes. With IP and UDP headers it fits a link MTU of 1,500 bytes.
#ifndef FULMARLEDGE_CONFIG_MAX_DATAGRAM_BYTES
#define FULMARLEDGE_CONFIG_MAX_DATAGRAM_BYTES 1200
#endif

/// Nodes per zone that watch the platform for a new manifest version.
#ifndef FULMARLEDGE_CONFIG_WATCHERS_PER_ZONE
#define FULMARLEDGE_CONFIG_WATCHERS_PER_ZONE 3
#endif

/// Hash buckets of the host table, which anti-entropy compares between nodes.
#ifndef FULMARLEDGE_CONFIG_TABLE_BUCKETS
#define FULMARLEDGE_CONFIG_TABLE_BUCKETS 64
#endif

/// Largest payload of a length-prefixed frame accepted from a peer, in bytes.
#ifndef FULMARLEDGE_CONFIG_MAX_FRAME_BYTES
#define FULMARLEDGE_CONFIG_MAX_FRAME_BYTES (64 * 1024 * 1024)
#endif
