/** JSON over HTTP for the stand-ins: typed bodies, the server and its listen address. */
package io.cactusspring.standins.http;
