/*
 * Membership of machines in failure domains. A machine belongs to its zone and to the declared
 * domain whose network contains its address with the longest prefix.
 *
 * Networks are stored in a hash table by prefix. The longest match takes one lookup per prefix
 * length in use, whatever the number of networks. It runs when a machine's address or zone changes,
 * not on each heartbeat.
 */
#include "domains.h"
#include "../subsystem_support/subsystem_memory.h"
#include <libcidr.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>
#include <utlist.h>

#define IPV4_BITS 32
#define IPV6_BITS 128
#define CIDR_TEXT_PADDING 32 /* bytes */
#define IPV4_BYTES_OFFSET 12 /* of an IPv4 address within libcidr's 16 bytes */

struct ws_failure_domain *ws_failure_domain_find(struct ws_failure_domains *domains,
						 const char *name)
{
	struct ws_failure_domain *domain;

	HASH_FIND_STR(domains->by_name, name, domain);
	return domain;
}

/* Sets the length of a prefix and clears all bits beyond it. */
static void truncate_prefix(struct ws_domains_prefix *prefix, int length)
{
	int start = prefix->version == 4 ? IPV4_BYTES_OFFSET : 0;

	prefix->length = (uint8_t)length;
	for (int i = start; i < 16; i++) {
		int bits = length - 8 * (i - start);

		if (bits <= 0)
			prefix->bytes[i] = 0;
		else if (bits < 8)
			prefix->bytes[i] &= (uint8_t)(0xff << (8 - bits));
	}
}

/*
 * Parses an address or network with libcidr. libcidr compares the end of its input with reverse DNS
 * suffixes (.in-addr.arpa) without checking the length, and read out of bounds before a short text.
 * The text is therefore passed with padding in front of it.
 */
static CIDR *parse_cidr(const char *text)
{
	char padded[CIDR_TEXT_PADDING + WS_DOMAINS_NAME_MAX] = {0};

	if (strlen(text) >= WS_DOMAINS_NAME_MAX)
		return NULL;
	memcpy(padded + CIDR_TEXT_PADDING, text, strlen(text) + 1);
	return cidr_from_str(padded + CIDR_TEXT_PADDING);
}

/* Parses an address or network. An IPv4-mapped IPv6 address is converted to IPv4. */
static bool parse_prefix(const char *text, struct ws_domains_prefix *prefix)
{
	CIDR *cidr = parse_cidr(text);
	uint8_t *bytes;
	bool mapped;
	int length;

	if (!cidr)
		return false;
	mapped = cidr_get_proto(cidr) == CIDR_IPV6 && cidr_is_v4mapped(cidr) == 0;
	length = cidr_get_pflen(cidr);
	bytes = cidr_get_addr(cidr);
	memset(prefix, 0, sizeof(*prefix));
	prefix->version = mapped || cidr_get_proto(cidr) == CIDR_IPV4 ? 4 : 6;
	cidr_free(cidr);
	if (!bytes || length < 0) {
		free(bytes);
		return false;
	}
	if (prefix->version == 4)
		memcpy(prefix->bytes + IPV4_BYTES_OFFSET, bytes + IPV4_BYTES_OFFSET, 4);
	else
		memcpy(prefix->bytes, bytes, 16);
	free(bytes);
	if (mapped)
		length -= IPV6_BITS - IPV4_BITS;
	if (length < 0)
		return false;
	prefix->length = (uint8_t)length;
	return true;
}

static struct ws_domains_network *find_network(const struct ws_domains_networks *networks,
					       const struct ws_domains_prefix *prefix)
{
	struct ws_domains_network *network;

	HASH_FIND(hh, networks->table, prefix, sizeof(*prefix), network);
	return network;
}

/*
 * Finds the declared domain that contains an address; `domain` is set to NULL if there is none.
 * Returns false if the address is invalid.
 */
static bool find_domain_by_address(const struct ws_domains_networks *networks, const char *address,
				   struct ws_failure_domain **domain)
{
	struct ws_domains_prefix prefix;
	int bits;

	*domain = NULL;
	if (!parse_prefix(address, &prefix))
		return false;
	bits = prefix.version == 4 ? IPV4_BITS : IPV6_BITS;
	if (prefix.length != bits) /* a network, not the address of a machine */
		return false;
	for (int length = bits; length >= 0; length--) {
		const struct ws_domains_network *network;

		if (!networks->used[prefix.version == 6][length])
			continue;
		truncate_prefix(&prefix, length);
		network = find_network(networks, &prefix);
		if (network) {
			*domain = network->domain;
			return true;
		}
	}
	return true;
}

static enum ws_domains_error_code add_network(struct ws_failure_domains *domains,
					      struct ws_failure_domain *domain, const char *text)
{
	struct ws_domains_network *network;
	struct ws_domains_prefix prefix, masked;

	if (!parse_prefix(text, &prefix))
		return WS_DOMAINS_INVALID_NETWORK;
	masked = prefix;
	truncate_prefix(&masked, prefix.length);
	if (memcmp(&masked, &prefix, sizeof(masked)) != 0)
		return WS_DOMAINS_HOST_BITS_SET;
	if (find_network(&domains->networks, &prefix))
		return WS_DOMAINS_DUPLICATE_NETWORK;
	network = ws_subsystem_allocate(sizeof(*network));
	network->prefix = prefix;
	network->domain = domain;
	HASH_ADD(hh, domains->networks.table, prefix, sizeof(network->prefix), network);
	domains->networks.used[prefix.version == 6][prefix.length] = true;
	return WS_DOMAINS_OK;
}

static enum ws_domains_error_code add_domain(struct ws_failure_domains *domains, const char *name,
					     bool is_zone, struct ws_failure_domain **added)
{
	struct ws_failure_domain *domain;

	/* the name becomes part of a record's key, which can't contain spaces */
	if (!name[0] || strpbrk(name, " \t/") != NULL)
		return WS_DOMAINS_INVALID_NAME;
	if (ws_failure_domain_find(domains, name))
		return WS_DOMAINS_DUPLICATE_NAME;
	domain = ws_subsystem_allocate(sizeof(*domain));
	snprintf(domain->name, sizeof(domain->name), "%s", name);
	domain->is_zone = is_zone;
	HASH_ADD_STR(domains->by_name, name, domain);
	*added = domain;
	return WS_DOMAINS_OK;
}

static bool add_declared_domain(struct ws_failure_domains *domains,
				const struct ws_declared_domain *declared,
				struct ws_domains_error *error)
{
	struct ws_failure_domain *domain;

	snprintf(error->domain, sizeof(error->domain), "%s", declared->name);
	error->code = add_domain(domains, declared->name, false, &domain);
	for (size_t i = 0; error->code == WS_DOMAINS_OK && i < declared->network_count; i++) {
		snprintf(error->network, sizeof(error->network), "%s", declared->networks[i]);
		error->code = add_network(domains, domain, declared->networks[i]);
	}
	return error->code == WS_DOMAINS_OK;
}

struct ws_failure_domain *ws_domains_add_zone(struct ws_failure_domains *domains, const char *name)
{
	struct ws_failure_domain *domain = NULL;

	add_domain(domains, name, true, &domain);
	if (domain)
		domain->state_changed_at = domain->penalty_updated_at = domain->loss_free_since =
		    domains->clock_advanced_at;
	return domain;
}

bool ws_domains_add_configured(struct ws_failure_domains *domains, struct ws_domains_error *error)
{
	struct ws_failure_domain *domain;

	memset(error, 0, sizeof(*error));
	for (size_t i = 0; i < domains->limits.zone_count; i++) /* duplicate zones are merged */
		add_domain(domains, domains->limits.zones[i], true, &domain);
	for (size_t i = 0; i < domains->settings.declared_count; i++)
		if (!add_declared_domain(domains, &domains->settings.declared[i], error))
			return false;
	return true;
}

void ws_domains_clear(struct ws_failure_domains *domains)
{
	WS_SUBSYSTEM_FREE_TABLE(domains->by_name);
	WS_SUBSYSTEM_FREE_TABLE(domains->networks.table);
}

void ws_failure_domain_adjust_counts(struct ws_failure_domain *domain,
				     const struct ws_domains_machine *machine, int sign)
{
	size_t change = (size_t)(ssize_t)sign;

	if (machine->liveness == WS_DOMAINS_LIVE)
		domain->live += change;
	if (machine->liveness == WS_DOMAINS_UNRESPONSIVE) {
		domain->unresponsive += change;
		domain->unanswered += machine->unanswered ? change : 0;
	}
}

static void add_member(struct ws_domains_machine *machine, size_t index,
		       struct ws_failure_domain *domain)
{
	struct ws_domains_membership *member = &machine->memberships[index];

	if (!domain)
		return;
	member->domain = domain;
	member->machine = machine;
	DL_APPEND(domain->members, member);
	ws_failure_domain_adjust_counts(domain, machine, 1);
}

void ws_domains_remove_machine(struct ws_domains_machine *machine)
{
	for (size_t i = 0; i < WS_DOMAINS_MEMBERSHIPS; i++) {
		struct ws_domains_membership *member = &machine->memberships[i];

		if (!member->domain)
			continue;
		ws_failure_domain_adjust_counts(member->domain, machine, -1);
		DL_DELETE(member->domain->members, member);
		member->domain = NULL;
	}
}

void ws_domains_add_machine(struct ws_failure_domains *domains, struct ws_domains_machine *machine,
			    const struct ws_machine_info *info)
{
	struct ws_failure_domain *declared = NULL, *zone = NULL;

	if (info->zone[0]) {
		zone = ws_failure_domain_find(domains, info->zone);
		if (!zone) /* not listed in the settings */
			zone = ws_domains_add_zone(domains, info->zone);
		if (zone && !zone->is_zone) {
			ws_subsystem_logf(
			    domains->log,
			    "zones: zone name collides with a declared domain machine=%s zone=%s",
			    info->name, info->zone);
			zone = NULL;
		}
	}
	if (domains->networks.table && info->address[0] &&
	    !find_domain_by_address(&domains->networks, info->address, &declared))
		ws_subsystem_logf(domains->log,
				  "zones: invalid address, no declared domain assigned "
				  "machine=%s address=%s",
				  info->name, info->address);
	add_member(machine, 0, zone);
	add_member(machine, 1, declared);
}
