package io.cactusspring.standins.hosts;

import io.cactusspring.standins.http.Outage;

/** The body of an admin call on the service; an absent field leaves its switch as it is. */
record HostListSettings(Outage outage, Long lagMillis) {}
