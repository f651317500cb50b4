package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.snipewick.identity.IpAddress;

/**
 * Typed access to the fields of a JSON or YAML object. Unless a method returns a default value, it
 * throws an {@link IllegalArgumentException} if the field is missing or has another type.
 */
final class Fields {
  /** Longer durations would overflow when they are converted to nanoseconds. */
  private static final Duration MAX_DURATION = Duration.ofDays(365);

  private final JsonNode node;

  private Fields(JsonNode node) {
    this.node = node;
  }

  static Fields of(JsonNode node) {
    if (!requireNonNull(node, "node").isObject()) {
      throw new IllegalArgumentException("not an object: " + node.getNodeType());
    }
    return new Fields(node);
  }

  String text(String name) {
    JsonNode value = node.path(name);
    if (!value.isTextual()) {
      throw invalid(name, "a string");
    }
    return value.textValue();
  }

  Optional<String> optionalText(String name) {
    return isMissing(name) ? Optional.empty() : Optional.of(text(name));
  }

  /** Returns a string; the empty one if the field is missing or has another type. */
  String textOrEmpty(String name) {
    return node.path(name).isTextual() ? node.path(name).textValue() : "";
  }

  long integer(String name) {
    JsonNode value = node.path(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw invalid(name, "an integer of 64 bits");
    }
    return value.longValue();
  }

  long integer(String name, long defaultValue) {
    return isMissing(name) ? defaultValue : integer(name);
  }

  /** Returns an integer within bounds, both included. */
  int integerWithin(String name, int minimum, int maximum) {
    long value = integer(name);
    if (value < minimum || value > maximum) {
      throw invalid(name, "from " + minimum + " to " + maximum);
    }
    return (int) value;
  }

  /** Returns a duration that is given in milliseconds and not longer than a year. */
  Duration millis(String name) {
    double value = number(name);
    if (value < 0 || value > MAX_DURATION.toMillis()) {
      throw invalid(name, "a duration of up to a year");
    }
    return Duration.ofMillis((long) value);
  }

  double number(String name) {
    JsonNode value = node.path(name);
    if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
      throw invalid(name, "a finite number");
    }
    return value.doubleValue();
  }

  double number(String name, double defaultValue) {
    return isMissing(name) ? defaultValue : number(name);
  }

  /** Returns a boolean; false if the field is missing. */
  boolean bool(String name) {
    JsonNode value = node.path(name);
    if (!isMissing(name) && !value.isBoolean()) {
      throw invalid(name, "true or false");
    }
    return value.asBoolean();
  }

  Fields object(String name) {
    return of(node.path(name));
  }

  /** Returns a list of decoded objects; empty if the field is missing. */
  <T> List<T> list(String name, Function<Fields, T> decoder) {
    List<T> values = new ArrayList<>();
    for (JsonNode element : elements(name)) {
      values.add(decoder.apply(of(element)));
    }
    return values;
  }

  /** Returns a list of strings, to which other values are converted; empty if missing. */
  List<String> strings(String name) {
    List<String> values = new ArrayList<>();
    elements(name).forEach(element -> values.add(element.asText()));
    return values;
  }

  private JsonNode elements(String name) {
    JsonNode value = node.path(name);
    if (!isMissing(name) && !value.isArray()) {
      throw invalid(name, "a list");
    }
    return value;
  }

  /** Returns the address of a field that holds an IP address and a port, separated by a colon. */
  InetSocketAddress address(String name) {
    String text = text(name);
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw invalid(name, "an address with a port");
    }
    return IpAddress.withPort(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns whether a field does not exist or is null. */
  boolean isMissing(String name) {
    JsonNode value = node.path(name);
    return value.isMissingNode() || value.isNull();
  }

  private static IllegalArgumentException invalid(String name, String expected) {
    return new IllegalArgumentException("field " + name + " is not " + expected);
  }
}
