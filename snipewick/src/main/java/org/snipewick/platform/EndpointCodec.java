package org.snipewick.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.store.TableRow;

/** Decodes the rows of the store in which endpoints are listed. */
final class EndpointCodec {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** First octet from which on addresses are not those of single hosts. */
  private static final int FIRST_MULTICAST_OCTET = 224;

  private EndpointCodec() {}

  /**
   * Decodes a row.
   *
   * @param row row whose key is the identifier of the endpoint
   * @return endpoint; its start time is 0 if the field "born" is missing, and its version empty if
   *     "version" is missing or no text, as it matters for rollouts only
   * @throws IOException if the value is not JSON
   * @throws IllegalArgumentException if another field is missing, or a field has the wrong type or
   *     an invalid value
   */
  static RegisteredEndpoint decode(TableRow row) throws IOException {
    Fields fields = Fields.of(JSON.readTree(row.value()));
    InetSocketAddress address = addressOf(fields);
    return new RegisteredEndpoint(
        EndpointId.of(row.key()),
        fields.integer("born", 0),
        PoolName.of(fields.text("service")),
        FailureDomain.of(fields.text("zone")),
        address.getHostString(),
        address.getPort(),
        fields.integerWithin("slots", 1, Integer.MAX_VALUE),
        isDraining(fields.text("state")),
        fields.textOrEmpty("version"));
  }

  /**
   * Returns an address to which a connection can be opened; the platform has no version 6 of IP.
   */
  private static InetSocketAddress addressOf(Fields fields) {
    InetSocketAddress address = fields.address("address");
    int firstOctet = Byte.toUnsignedInt(address.getAddress().getAddress()[0]);
    boolean isHost =
        address.getAddress() instanceof Inet4Address
            && firstOctet > 0
            && firstOctet < FIRST_MULTICAST_OCTET;
    if (!isHost) {
      throw new IllegalArgumentException("not the address of a host of IP version 4");
    }
    return address;
  }

  private static boolean isDraining(String state) {
    return switch (state) {
      case "ready" -> false;
      case "draining" -> true;
      default -> throw new IllegalArgumentException("unknown endpoint state");
    };
  }
}
