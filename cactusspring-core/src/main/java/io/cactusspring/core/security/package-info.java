/** Authentication of callers by their keys, checked against the configuration. */
package io.cactusspring.core.security;
