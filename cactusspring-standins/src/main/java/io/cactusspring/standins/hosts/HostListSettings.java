package io.cactusspring.standins.hosts;

import io.cactusspring.standins.http.Outage;

/** Request body of {@code POST /admin}; an absent field leaves its setting unchanged. */
record HostListSettings(Outage outage, Long lagMillis) {}
