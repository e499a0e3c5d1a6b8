/** A load client that compares the latencies of two paths to the same service in one run. */
package io.cactusspring.standins.load;
