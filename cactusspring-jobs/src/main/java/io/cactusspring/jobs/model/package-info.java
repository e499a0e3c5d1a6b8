/** Jobs that callers submit, configuration of the operators, and announcements of executors. */
package io.cactusspring.jobs.model;
