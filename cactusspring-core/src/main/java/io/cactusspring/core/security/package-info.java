/** Keys that callers present, and the check of them against the configuration. */
package io.cactusspring.core.security;
