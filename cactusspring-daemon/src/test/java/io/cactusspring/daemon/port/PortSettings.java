package io.cactusspring.daemon.port;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.daemon.settings.Address;
import io.cactusspring.daemon.settings.BootstrapKey;
import io.cactusspring.daemon.settings.DaemonSettings;

/** Entry host settings for tests of the caller and peer ports. */
final class PortSettings {
  private PortSettings() {}

  static DaemonSettings.Builder builder() {
    Address any = Address.parse("127.0.0.1:0");
    return DaemonSettings.builder()
        .name("riga-a-1")
        .zone(new AvailabilityZone("riga-a"))
        .region("riga")
        .callerAddress(any)
        .peerAddress(any)
        .platformLog(any)
        .hostList(any)
        .bootstrapKey(new BootstrapKey("ops", "00".repeat(16), "00".repeat(32)));
  }
}
