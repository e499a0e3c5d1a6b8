/** The configuration in force and the resolution of release notes against it. */
package io.cactusspring.core.config;
