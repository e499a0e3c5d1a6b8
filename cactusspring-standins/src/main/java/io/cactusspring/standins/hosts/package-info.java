/** The stand-in for the platform's host list, which publishes changes with a delay. */
package io.cactusspring.standins.hosts;
