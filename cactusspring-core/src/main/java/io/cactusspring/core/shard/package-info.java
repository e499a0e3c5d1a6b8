/** Life of the tasks of one shard, from placement to the logged end, for the shard's owner. */
package io.cactusspring.core.shard;
