package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.OptionalDouble;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.IpAddress;
import org.snipewick.store.TableRow;

/**
 * Row by which an instance is registered in the store.
 *
 * @param instance name of the instance, the key of its row
 * @param domain failure domain
 * @param address address at which it accepts connections of peers
 * @param cores share of a core, or number of cores, that it may use; empty if it does not tell
 */
public record FleetMember(
    InstanceId instance, FailureDomain domain, InetSocketAddress address, OptionalDouble cores) {
  /** Table that contains one row per instance. */
  public static final String TABLE = "instances";

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Checks that no component is null. */
  public FleetMember {
    requireNonNull(instance, "instance");
    requireNonNull(domain, "domain");
    requireNonNull(address, "address");
    requireNonNull(cores, "cores");
  }

  /**
   * Creates the registration of an instance that does not tell what it may use of its cores.
   *
   * @param instance name of the instance
   * @param domain failure domain
   * @param address address at which it accepts connections of peers
   */
  public FleetMember(InstanceId instance, FailureDomain domain, InetSocketAddress address) {
    this(instance, domain, address, OptionalDouble.empty());
  }

  /** Returns the content of the row as JSON. */
  byte[] encode() {
    ObjectNode node = JSON.createObjectNode();
    node.put("domain", domain.value());
    node.put("host", address.getHostString());
    node.put("port", address.getPort());
    cores.ifPresent(number -> node.put("cores", number));
    try {
      return JSON.writeValueAsBytes(node);
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /**
   * Decodes a row.
   *
   * @param row row of the table
   * @return registration in the row
   * @throws IOException if the content is not JSON
   * @throws IllegalArgumentException if a value in it is invalid
   */
  public static FleetMember decode(TableRow row) throws IOException {
    JsonNode node = JSON.readTree(row.value());
    JsonNode port = node.path("port");
    if (!port.isIntegralNumber() || !port.canConvertToInt() || port.intValue() < 1) {
      throw new IllegalArgumentException("field port is not a port");
    }
    return new FleetMember(
        InstanceId.of(row.key()),
        FailureDomain.of(node.path("domain").asText()),
        IpAddress.withPort(node.path("host").asText(), port.intValue()),
        decodeCores(node.path("cores")));
  }

  /** Returns the number in a field; another value does not make the instance unusable. */
  private static OptionalDouble decodeCores(JsonNode node) {
    double number = node.asDouble();
    return node.isNumber() && Double.isFinite(number) && number > 0
        ? OptionalDouble.of(number)
        : OptionalDouble.empty();
  }
}
