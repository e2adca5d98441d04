"""Link validated sections to one Cfg and check what holds between them."""

from cornelgap.cfg.findings import MAX_NEAREST, CfgFinding, find_nearest
from cornelgap.core import settings
from cornelgap.core.errors import Code


def link_sections(models, meta):
    """Build the Cfg from validated sections.

    :param models: model by section as written.
    :param meta: origins, for the place of each finding.
    :return: the Cfg and findings.
    """
    by_kind = {'service': [], 'target': [], 'key': [], 'instance': []}
    for section, model in models.items():
        by_kind[section.partition(' ')[0]].append(model)
    findings = _check_services_exist(meta)
    findings += _check_addresses(by_kind['service'], 'service', meta)
    findings += _check_addresses(by_kind['target'], 'target', meta)
    findings += _check_signing(by_kind['key'], meta)
    cfg = settings.Cfg(
        services=_build_services(by_kind),
        keys={
            key.name: settings.KeyCfg(key.name, key.secret, key.stage)
            for key in by_kind['key']
        },
        draining_instances=frozenset(
            instance.name
            for instance in by_kind['instance']
            if instance.draining
        ),
    )
    return cfg, findings


def _build_services(by_kind):
    services = {
        model.name: settings.ServiceCfg(targets={}, **model.model_dump())
        for model in by_kind['service']
    }
    for model in by_kind['target']:
        service = services.get(model.service)
        if service is not None:
            service.targets[model.name] = settings.TargetCfg(
                **model.model_dump(exclude={'service'})
            )
    return services


def _place(meta, section, option):
    origin = meta.origins.get((section, option))
    if origin is None:
        return meta.headers[section]
    return origin.winner.file, origin.winner.line


def _check_services_exist(meta):
    # Sections with faults of their own count as existing, and targets with
    # faults of their own are looked at: each fault is reported once, and
    # none only after another is mended.
    known = {
        section.partition(' ')[2]
        for section in meta.headers
        if section.startswith('service ')
    }
    findings = []
    for (section, option), origin in meta.origins.items():
        service = origin.winner.value
        if not section.startswith('target ') or option != 'service':
            continue
        if service in known:
            continue
        near = ''
        if len(findings) < MAX_NEAREST:
            near = find_nearest(service, known)
        findings.append(
            CfgFinding(
                Code.CFG_DANGLING,
                f'there is no service "{service}"',
                origin.winner.file,
                origin.winner.line,
                section,
                'service',
                'the name of a [service NAME] section',
                near,
            )
        )
    return findings


def _check_addresses(models, kind, meta):
    """Refuse one address for two names of a kind.

    Two targets at one address would let a packet for one service reach the
    other's process; its caller would read a stranger's answer.
    """
    owners = {}
    findings = []
    for model in models:
        owner = owners.setdefault(model.address, model.name)
        if owner == model.name:
            continue
        section = f'{kind} {model.name}'
        file, line = _place(meta, section, 'address')
        findings.append(
            CfgFinding(
                Code.CFG_ADDRESS_TAKEN,
                f'the address belongs to {kind} "{owner}"',
                file,
                line,
                section,
                'address',
                'an address of its own',
            )
        )
    return findings


def _check_signing(keys, meta):
    """Refuse two signing keys: which one signs would be left to chance."""
    signing = [key for key in keys if key.stage is settings.KeyStage.SIGNING]
    wrong = signing[1:]
    if not wrong:
        return []
    section = f'key {wrong[0].name}'
    file, line = _place(meta, section, 'stage')
    return [
        CfgFinding(
            Code.CFG_BAD_VALUE,
            f'{len(signing)} keys sign',
            file,
            line,
            section,
            'stage',
            'one key whose stage is signing',
        )
    ]
