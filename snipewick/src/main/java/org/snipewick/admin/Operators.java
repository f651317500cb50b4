package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * Operators that may use the administrative API, identified by their bearer tokens.
 *
 * @param operators all operators
 */
public record Operators(List<Operator> operators) {
  private static final String SCHEME = "Bearer ";

  /** Copies the operators. */
  public Operators {
    operators = List.copyOf(operators);
  }

  /**
   * Returns the operator whose token a request carries. Compares the token with those of all
   * operators in constant time.
   *
   * @param authorization value of the header Authorization, {@code null} if there is none
   * @return name of the operator; empty if there is no token or it belongs to no operator
   */
  public Optional<String> authenticate(String authorization) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return Optional.empty();
    }
    byte[] requestDigest = sha256(authorization.substring(SCHEME.length()).trim());
    String found = null;
    for (Operator operator : operators) {
      if (MessageDigest.isEqual(requestDigest, operator.digest())) {
        found = operator.name();
      }
    }
    return Optional.ofNullable(found);
  }

  private static byte[] sha256(String token) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("every Java platform must support SHA-256", impossible);
    }
  }

  /**
   * Operator that is identified by a bearer token.
   *
   * @param name name, which is stored in the catalogue's history
   * @param tokenSha256 SHA-256 of the bearer token, in hexadecimal
   */
  public record Operator(String name, String tokenSha256) {

    /** Checks the components. */
    public Operator {
      requireNonNull(name, "name");
      requireNonNull(tokenSha256, "tokenSha256");
    }

    private byte[] digest() {
      return HexFormat.of().parseHex(tokenSha256);
    }
  }
}
