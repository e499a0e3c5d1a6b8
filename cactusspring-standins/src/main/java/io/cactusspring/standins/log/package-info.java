/** The stand-in for the platform's append-only log service, with retention and outages. */
package io.cactusspring.standins.log;
