package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Typed access to the fields of a JSON or YAML object. Unless a method returns a default value, it
 * throws an {@link IllegalArgumentException} if the field is missing or has another type.
 */
final class Fields {
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

  long integer(String name) {
    JsonNode value = node.path(name);
    if (!value.isIntegralNumber()) {
      throw invalid(name, "an integer");
    }
    return value.longValue();
  }

  long integer(String name, long defaultValue) {
    return isMissing(name) ? defaultValue : integer(name);
  }

  double number(String name) {
    JsonNode value = node.path(name);
    if (!value.isNumber()) {
      throw invalid(name, "a number");
    }
    return value.doubleValue();
  }

  double number(String name, double defaultValue) {
    return isMissing(name) ? defaultValue : number(name);
  }

  /** Returns a boolean; false if the field is missing. */
  boolean bool(String name) {
    JsonNode value = node.path(name);
    if (!value.isMissingNode() && !value.isBoolean()) {
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
    for (JsonNode element : node.path(name)) {
      values.add(decoder.apply(of(element)));
    }
    return values;
  }

  /** Returns a list of strings, to which other values are converted; empty if missing. */
  List<String> strings(String name) {
    List<String> values = new ArrayList<>();
    node.path(name).forEach(element -> values.add(element.asText()));
    return values;
  }

  /** Returns the address of a field that holds host and port, separated by a colon. */
  InetSocketAddress address(String name) {
    String text = text(name);
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw invalid(name, "an address with a port");
    }
    return new InetSocketAddress(
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
