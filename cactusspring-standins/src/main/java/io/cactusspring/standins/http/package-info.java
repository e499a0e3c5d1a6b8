/**
 * JSON over HTTP for the stand-ins: typed bodies, one server and the address that it listens on.
 */
package io.cactusspring.standins.http;
