package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/**
 * Call of the administration.
 *
 * @param operator who calls; empty on routes for all
 * @param parameters parameters of path and query by name
 * @param ifMatch content of the header If-Match, if any
 * @param body content, empty if there is none
 */
public record AdminRequest(
    String operator, Map<String, String> parameters, Optional<String> ifMatch, byte[] body) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Checks and copies the parts. */
  public AdminRequest {
    requireNonNull(operator, "operator");
    parameters = Map.copyOf(parameters);
    requireNonNull(ifMatch, "ifMatch");
    body = body.clone();
  }

  /**
   * Returns the content.
   *
   * @return copy of the content
   */
  @Override
  public byte[] body() {
    return body.clone();
  }

  /**
   * Reads the content as JSON.
   *
   * @return JSON
   * @throws org.snipewick.failure.FailureException of {@link FailureType#MALFORMED_REQUEST}
   */
  public JsonNode json() {
    try {
      return MAPPER.readTree(body);
    } catch (IOException malformed) {
      throw malformed("the body is not JSON");
    }
  }

  /**
   * Reads the version that the call is made to.
   *
   * @return version given by If-Match
   * @throws org.snipewick.failure.FailureException of {@link FailureType#MALFORMED_REQUEST}
   */
  public long version() {
    String text = ifMatch.orElseThrow(() -> malformed("If-Match: \"<version>\" is required"));
    return number(text.replace("\"", "").trim(), "If-Match");
  }

  /**
   * Reads a parameter that is a number.
   *
   * @param name name of the parameter
   * @param otherwise value if it is not given
   * @return number, not negative
   * @throws org.snipewick.failure.FailureException of {@link FailureType#MALFORMED_REQUEST}
   */
  public long number(String name, long otherwise) {
    return parameters.containsKey(name) ? number(parameters.get(name), name) : otherwise;
  }

  private static long number(String text, String name) {
    if (!text.matches("[0-9]{1,18}")) {
      throw malformed(name + " must be a number but is " + text);
    }
    return Long.parseLong(text);
  }

  private static RuntimeException malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_REQUEST, detail).toException();
  }
}
