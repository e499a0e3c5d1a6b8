/** A bounded load client that compares two ways to the same service in one run. */
package io.cactusspring.standins.load;
