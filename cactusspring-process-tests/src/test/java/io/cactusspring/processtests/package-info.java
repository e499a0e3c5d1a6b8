/**
 * Fault-injection tests with real processes on loopback. Each test starts a small cell, makes a
 * part of it fail and checks the histories of the workers and executors for what actually ran.
 */
package io.cactusspring.processtests;
