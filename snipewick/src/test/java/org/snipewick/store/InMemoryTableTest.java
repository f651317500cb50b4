package org.snipewick.store;

/** Tests the table that other tests use against the contract of all tables. */
final class InMemoryTableTest extends TableContract {
  private final InMemoryTable table = new InMemoryTable();

  @Override
  protected Table table() {
    return table;
  }

  @Override
  protected void failCalls() {
    table.setFault(InMemoryTable.Fault.OUTAGE);
  }

  @Override
  protected void loseResponses() {
    table.setFault(InMemoryTable.Fault.LOST_ANSWER);
  }

  @Override
  protected void heal() {
    table.setFault(InMemoryTable.Fault.NONE);
  }
}
