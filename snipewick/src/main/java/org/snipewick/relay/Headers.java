package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Header fields of a message in their order; immutable. */
final class Headers {
  private static final String CONNECTION = "connection";
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

  /** Fields that concern one connection (RFC 9110, 7.6.1), and those that the client sets. */
  private static final Set<String> OF_ONE_CONNECTION =
      Set.of(
          CONNECTION,
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          TRANSFER_ENCODING,
          "upgrade",
          "expect",
          "host",
          CONTENT_LENGTH);

  private final List<Map.Entry<String, String>> fields;

  private Headers(List<Map.Entry<String, String>> fields) {
    this.fields = List.copyOf(fields);
  }

  static Headers of(List<Map.Entry<String, String>> fields) {
    return new Headers(requireNonNull(fields, "fields"));
  }

  List<Map.Entry<String, String>> fields() {
    return fields;
  }

  /** Returns the first value of a field. */
  Optional<String> first(String name) {
    return values(name).findFirst();
  }

  /** Tells whether a field stands more than once. */
  boolean isRepeated(String name) {
    return values(name).count() > 1;
  }

  boolean has(String name) {
    return values(name).findAny().isPresent();
  }

  private Stream<String> values(String name) {
    return fields.stream()
        .filter(field -> field.getKey().equalsIgnoreCase(name))
        .map(Map.Entry::getValue);
  }

  /** Returns the fields that are to be passed on to the other side. */
  Headers withoutConnectionFields() {
    Set<String> named =
        values(CONNECTION)
            .flatMap(value -> Arrays.stream(value.split(",")))
            .map(name -> name.trim().toLowerCase(Locale.ROOT))
            .collect(Collectors.toSet());
    return new Headers(
        fields.stream()
            .filter(field -> !OF_ONE_CONNECTION.contains(lower(field)))
            .filter(field -> !named.contains(lower(field)))
            .toList());
  }

  /** Returns the fields but for those with names that a test finds. */
  Headers without(java.util.function.Predicate<String> names) {
    return new Headers(fields.stream().filter(field -> !names.test(field.getKey())).toList());
  }

  Headers with(String name, String value) {
    List<Map.Entry<String, String>> changed = new ArrayList<>(fields);
    changed.add(Map.entry(name, value));
    return new Headers(changed);
  }

  /**
   * Finds what makes the length of a body ambiguous: two proxies that read it differently would see
   * different requests.
   *
   * @return what is wrong; empty if nothing is
   */
  Optional<String> framingFault() {
    if (fields.stream().anyMatch(field -> !TOKEN.matcher(field.getKey()).matches())) {
      return Optional.of("name of a header field is malformed");
    }
    if (isRepeated(CONTENT_LENGTH) || isRepeated(TRANSFER_ENCODING)) {
      return Optional.of("length of the body is given twice");
    }
    Optional<String> encoding = first(TRANSFER_ENCODING);
    if (encoding.isPresent() && has(CONTENT_LENGTH)) {
      return Optional.of("body has both a length and an encoding");
    }
    return encoding
        .filter(value -> !value.trim().equalsIgnoreCase("chunked"))
        .map(value -> "encoding of the body is not supported");
  }

  private static String lower(Map.Entry<String, String> field) {
    return field.getKey().toLowerCase(Locale.ROOT);
  }
}
