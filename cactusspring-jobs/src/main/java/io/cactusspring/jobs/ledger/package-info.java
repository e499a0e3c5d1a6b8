/** Replicated state of all jobs, which every entry host reads from the store. */
package io.cactusspring.jobs.ledger;
