/** Controllers of an entry host: the log, the host list, shards, budgets and snapshots. */
package io.cactusspring.daemon.control;
