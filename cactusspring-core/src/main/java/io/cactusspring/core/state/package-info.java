/** State that every entry host reaches by replaying the log. */
package io.cactusspring.core.state;
