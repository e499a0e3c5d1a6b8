/**
 * Controllers that replicate the topics of the store, claim ownership of the executors and execute
 * the decisions of the scheduler.
 */
package io.cactusspring.jobs.control;
