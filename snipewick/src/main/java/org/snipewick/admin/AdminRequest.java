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
 * Request to the administrative API.
 *
 * @param operator name of the operator whose token the request carries; empty if it carries no
 *     valid token, which is possible only on routes that need no credentials
 * @param parameters parameters of path and query by name; those of the path take precedence
 * @param ifMatch value of the header If-Match, if any
 * @param body content, empty if there is none
 */
public record AdminRequest(
    String operator, Map<String, String> parameters, Optional<String> ifMatch, byte[] body) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Checks and copies the components. */
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
   * Parses the content as JSON.
   *
   * @return parsed content
   * @throws org.snipewick.failure.FailureException of {@link FailureType#MALFORMED_REQUEST} if it
   *     is not JSON
   */
  public JsonNode json() {
    try {
      return MAPPER.readTree(body);
    } catch (IOException malformed) {
      throw malformed("the body is not JSON");
    }
  }

  /**
   * Returns the catalogue version that the request is based on.
   *
   * @return version given by If-Match
   * @throws org.snipewick.failure.FailureException of {@link FailureType#MALFORMED_REQUEST} if the
   *     header is missing or not a number
   */
  public long version() {
    String text = ifMatch.orElseThrow(() -> malformed("If-Match: \"<version>\" is required"));
    return number(text.replace("\"", "").trim(), "If-Match");
  }

  /**
   * Returns a parameter that is a number.
   *
   * @param name name of the parameter
   * @param defaultValue value if the parameter is not given
   * @return number, not negative
   * @throws org.snipewick.failure.FailureException of {@link FailureType#MALFORMED_REQUEST} if it
   *     is not a decimal number of 1 to 18 digits
   */
  public long number(String name, long defaultValue) {
    return parameters.containsKey(name) ? number(parameters.get(name), name) : defaultValue;
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
