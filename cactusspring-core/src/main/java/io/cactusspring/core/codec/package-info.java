/** Encoding of log records as text. */
package io.cactusspring.core.codec;
