/**
 * Interfaces to the services that the job runtime depends on; the platform module implements them.
 */
package io.cactusspring.jobs.port;
