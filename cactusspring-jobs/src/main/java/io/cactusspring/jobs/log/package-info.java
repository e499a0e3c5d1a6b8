/** Structured logging: a dedicated thread writes the lines from a bounded buffer. */
package io.cactusspring.jobs.log;
