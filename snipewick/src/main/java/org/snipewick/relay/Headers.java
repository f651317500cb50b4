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

/** Header fields of a message in their original order; immutable. */
final class Headers {
  private static final String CONNECTION = "connection";
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

  /**
   * Names of the hop-by-hop fields, which are not forwarded (RFC 9110, 7.6.1), and of the fields
   * that the HTTP client sets itself.
   */
  private static final Set<String> UNFORWARDED_FIELDS =
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

  /** Returns the first value of a field; empty if the field is missing. */
  Optional<String> first(String name) {
    return values(name).findFirst();
  }

  /** Returns whether a field occurs more than once. */
  boolean isRepeated(String name) {
    return values(name).count() > 1;
  }

  boolean has(String name) {
    return values(name).findAny().isPresent();
  }

  /** Returns all values of a field in their order. */
  Stream<String> values(String name) {
    return fields.stream()
        .filter(field -> field.getKey().equalsIgnoreCase(name))
        .map(Map.Entry::getValue);
  }

  /**
   * Returns the fields without those that concern only one connection, which include those that the
   * Connection field names, and without those that the HTTP client sets itself.
   */
  Headers withoutHopByHopFields() {
    Set<String> named =
        values(CONNECTION)
            .flatMap(value -> Arrays.stream(value.split(",")))
            .map(name -> name.trim().toLowerCase(Locale.ROOT))
            .collect(Collectors.toSet());
    return new Headers(
        fields.stream()
            .filter(field -> !UNFORWARDED_FIELDS.contains(lower(field)))
            .filter(field -> !named.contains(lower(field)))
            .toList());
  }

  /** Returns the fields without those whose names match the predicate. */
  Headers without(java.util.function.Predicate<String> names) {
    return new Headers(fields.stream().filter(field -> !names.test(field.getKey())).toList());
  }

  /** Returns the fields followed by another one. */
  Headers with(String name, String value) {
    List<Map.Entry<String, String>> changed = new ArrayList<>(fields);
    changed.add(Map.entry(name, value));
    return new Headers(changed);
  }

  /**
   * Returns why the length of the body is ambiguous. Two proxies that interpret it differently
   * would read different requests from the same bytes (request smuggling).
   *
   * @return description of the error; empty if the length is unambiguous
   */
  Optional<String> framingError() {
    if (fields.stream().anyMatch(field -> !FIELD_NAME.matcher(field.getKey()).matches())) {
      return Optional.of("a header field name is malformed");
    }
    if (isRepeated(CONTENT_LENGTH) || isRepeated(TRANSFER_ENCODING)) {
      return Optional.of("Content-Length or Transfer-Encoding occurs more than once");
    }
    Optional<String> encoding = first(TRANSFER_ENCODING);
    if (encoding.isPresent() && has(CONTENT_LENGTH)) {
      return Optional.of("both Content-Length and Transfer-Encoding are present");
    }
    return encoding
        .filter(value -> !value.trim().equalsIgnoreCase("chunked"))
        .map(value -> "Transfer-Encoding is not supported, only chunked is");
  }

  /** Returns the size of the body that the fields state; 0 if they state none. */
  long contentLength() {
    try {
      return first(CONTENT_LENGTH).map(value -> Long.parseLong(value.trim())).orElse(0L);
    } catch (NumberFormatException malformed) {
      return 0;
    }
  }

  private static String lower(Map.Entry<String, String> field) {
    return field.getKey().toLowerCase(Locale.ROOT);
  }
}
