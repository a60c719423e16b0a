package org.lovagevale.core.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;

/**
 * Finds the client account of a credential.
 *
 * <p>
 * Invariant: names are unique, and each credential belongs to one account. A
 * configuration with an empty table requires a credential that no caller has; one without
 * a table requires none. Immutable and thread-safe.
 */
public final class AccountTable {

	private final Map<AccountName, ClientAccount> byName;

	private final Map<String, ClientAccount> byCredential;

	private AccountTable(Map<AccountName, ClientAccount> byName, Map<String, ClientAccount> byCredential) {
		this.byName = Map.copyOf(byName);
		this.byCredential = Map.copyOf(byCredential);
	}

	/**
	 * Creates a table.
	 * @param accounts the accounts
	 * @return the table
	 * @throws IllegalArgumentException if two accounts have the same name or share a
	 * credential
	 */
	public static AccountTable of(Collection<ClientAccount> accounts) {
		Map<AccountName, ClientAccount> byName = new HashMap<>();
		Map<String, ClientAccount> byCredential = new HashMap<>();
		for (ClientAccount account : accounts) {
			if (byName.put(account.name(), account) != null) {
				throw new IllegalArgumentException("two client accounts have the name " + account.name());
			}
			for (String credential : account.credentials()) {
				ClientAccount other = byCredential.put(credential, account);
				if (other != null) {
					throw new IllegalArgumentException(
							"client accounts " + other.name() + " and " + account.name() + " share a credential");
				}
			}
		}
		return new AccountTable(byName, byCredential);
	}

	/**
	 * Returns all accounts.
	 * @return the accounts in no particular order
	 */
	public Collection<ClientAccount> accounts() {
		return this.byName.values();
	}

	/**
	 * Finds the account that holds a credential.
	 * @param credential the credential
	 * @return the account, or {@code null} if none holds it
	 */
	public @Nullable ClientAccount find(String credential) {
		return this.byCredential.get(credential);
	}

	/**
	 * Finds an account by its name.
	 * @param name the name
	 * @return the account, or {@code null} if there is none
	 */
	public @Nullable ClientAccount find(AccountName name) {
		return this.byName.get(name);
	}

}
