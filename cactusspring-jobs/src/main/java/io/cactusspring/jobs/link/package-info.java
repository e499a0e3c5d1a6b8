/** Messages between entry hosts, their encoding, and the connections that carry them. */
package io.cactusspring.jobs.link;
