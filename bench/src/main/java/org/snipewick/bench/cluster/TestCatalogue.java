package org.snipewick.bench.cluster;

/** Catalogue that tests and measurements use: two teams, one model, one service. */
public final class TestCatalogue {
  private TestCatalogue() {}

  /**
   * Returns the edits that create the catalogue.
   *
   * @return body of a request to the operators' address
   */
  public static String edits() {
    return "{\"edits\":["
        + team("dispatchers", 1, Cluster.TEAM_TOKEN)
        + ","
        + team("households", 4, Cluster.LOW_TEAM_TOKEN)
        + ","
        + model("planning")
        + ",{\"edit\":\"put\",\"entry\":{\"kind\":\"service\",\"name\":\"orders\","
        + "\"owner\":\"orders\",\"tier\":1,\"timeoutMillis\":8000,\"maxBodyBytes\":100000,"
        + "\"inFlightPerEndpoint\":64,\"repeatableMethods\":[\"GET\"]}}]}";
  }

  /**
   * Returns an edit that changes the owner of the model.
   *
   * @param owner new owner
   * @return body of a request to the operators' address
   */
  public static String modelEdit(String owner) {
    return "{\"edits\":[" + model(owner) + "]}";
  }

  private static String model(String owner) {
    return model("planner", owner);
  }

  /**
   * Returns the edit that puts a model.
   *
   * @param name name of the model
   * @param owner its owner
   * @return edit as JSON
   */
  public static String model(String name, String owner) {
    return ("{\"edit\":\"put\",\"entry\":{\"kind\":\"model\",\"name\":\"%s\",\"owner\":\"%s\","
            + "\"tier\":2,\"maxPromptTokens\":32000,\"maxOutputTokens\":4000,"
            + "\"timeoutMillis\":20000}}")
        .formatted(name, owner);
  }

  /**
   * Returns the edit that adds a team.
   *
   * @param name name of the team
   * @param tier highest tier that it may use
   * @param token its bearer token
   * @return edit as JSON
   */
  public static String team(String name, int tier, String token) {
    return ("{\"edit\":\"put\",\"entry\":{\"kind\":\"team\",\"name\":\"%s\",\"owner\":\"ops\","
            + "\"tier\":%d,\"tokenSha256\":\"%s\",\"tokensPerSecond\":1000000,"
            + "\"requestsPerSecond\":10000,\"inFlight\":10000}}")
        .formatted(name, tier, EntrySettings.sha256(token));
  }
}
