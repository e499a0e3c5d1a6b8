/** Encoding of the Thrift messages that entry hosts exchange. */
package io.cactusspring.protocol;
