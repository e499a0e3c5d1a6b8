/** Jobs of dependent steps: their model, ledger, scheduling and the controllers that run them. */
package io.cactusspring.jobs;
