/**
 * Tests of failures with real processes on loopback: each test starts a small cell, breaks a part
 * of it and then reads from the histories of workers and executors what really ran.
 */
package io.cactusspring.processtests;
