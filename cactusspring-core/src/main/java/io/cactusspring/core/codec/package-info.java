/** Encoding of log records and snapshots as text. */
package io.cactusspring.core.codec;
