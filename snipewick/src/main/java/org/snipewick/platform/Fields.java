package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Fields of a table that came over the wire, read by their type. What is missing or of another type
 * raises an {@link IllegalArgumentException} that names the field.
 */
final class Fields {
  private final JsonNode node;

  private Fields(JsonNode node) {
    this.node = node;
  }

  static Fields of(JsonNode node) {
    if (!requireNonNull(node, "node").isObject()) {
      throw new IllegalArgumentException("not a table: " + node.getNodeType());
    }
    return new Fields(node);
  }

  String text(String name) {
    JsonNode value = node.path(name);
    if (!value.isTextual()) {
      throw wrong(name, "a text");
    }
    return value.textValue();
  }

  Optional<String> optionalText(String name) {
    return isMissing(name) ? Optional.empty() : Optional.of(text(name));
  }

  long whole(String name) {
    JsonNode value = node.path(name);
    if (!value.isIntegralNumber()) {
      throw wrong(name, "a whole number");
    }
    return value.longValue();
  }

  long whole(String name, long otherwise) {
    return isMissing(name) ? otherwise : whole(name);
  }

  double number(String name) {
    JsonNode value = node.path(name);
    if (!value.isNumber()) {
      throw wrong(name, "a number");
    }
    return value.doubleValue();
  }

  double number(String name, double otherwise) {
    return isMissing(name) ? otherwise : number(name);
  }

  boolean truth(String name) {
    JsonNode value = node.path(name);
    if (!value.isMissingNode() && !value.isBoolean()) {
      throw wrong(name, "true or false");
    }
    return value.asBoolean();
  }

  Fields table(String name) {
    return of(node.path(name));
  }

  /** Reads a list of tables; one that is missing is empty. */
  <T> List<T> list(String name, Function<Fields, T> element) {
    List<T> values = new ArrayList<>();
    for (JsonNode each : node.path(name)) {
      values.add(element.apply(of(each)));
    }
    return values;
  }

  List<String> texts(String name) {
    List<String> values = new ArrayList<>();
    node.path(name).forEach(each -> values.add(each.asText()));
    return values;
  }

  /** Reads an IP address and a port, separated by a colon. */
  InetSocketAddress address(String name) {
    String text = text(name);
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw wrong(name, "an address");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  boolean isMissing(String name) {
    JsonNode value = node.path(name);
    return value.isMissingNode() || value.isNull();
  }

  private static IllegalArgumentException wrong(String name, String expected) {
    return new IllegalArgumentException("field " + name + " is not " + expected);
  }
}
