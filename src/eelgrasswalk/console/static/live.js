'use strict';

const POLL_INTERVAL_MS = 2000;
let previous = null;

function show(id, text) {
  document.getElementById(id).textContent = text;
}

function formatRate(now, before, seconds) {
  if (now === null || now === undefined) return 'not reported';
  if (before === null || before === undefined) return '-';
  // A node that restarted begins again at 0.
  return Math.max(0, (now - before) / seconds).toFixed(1);
}

// Refusals beyond the account's rate say nothing about how it was served.
function countWithinRate(counts) {
  return (counts.sent || 0) - (counts.quota || 0);
}

function findWorst(now, before) {
  let worst = null;
  for (const [name, counts] of Object.entries(now || {})) {
    const old = (before || {})[name] || {};
    const sent = countWithinRate(counts) - countWithinRate(old);
    const answered = (counts.answered || 0) - (old.answered || 0);
    if (sent <= 0) continue;
    const ratio = answered / sent;
    if (worst === null || ratio < worst.ratio) worst = { name, ratio };
  }
  return worst;
}

function showNodes(nodes) {
  const body = document.getElementById('nodes');
  const rows = nodes.map((node) => {
    const row = document.createElement('tr');
    const state = node.answered ? node.state : node.state + ', no answer';
    const version = node.config_version === null ? '-' : node.config_version;
    for (const text of [node.host, node.service, state, version]) {
      const cell = document.createElement('td');
      cell.textContent = text;
      row.append(cell);
    }
    row.lastChild.className = 'number';
    return row;
  });
  body.replaceChildren(...rows);
  const known = nodes.filter((node) => node.answered);
  const versions = [...new Set(known.map((node) => node.config_version))];
  show('node-count', String(nodes.length));
  show('versions', 'version ' + versions.sort((a, b) => b - a).join(', '));
}

function showFigures(data, at) {
  const before = previous ? previous.data : null;
  const seconds = previous ? (at - previous.at) / 1000 : 1;
  show('goodput', formatRate(data.answered, before && before.answered, seconds));
  for (const name of ['critical', 'high', 'normal', 'low']) {
    const now = data.shed ? data.shed[name] || 0 : null;
    const old = before && before.shed ? before.shed[name] || 0 : null;
    show('shed-' + name, formatRate(now, old, seconds));
  }
  const worst = before ? findWorst(data.accounts, before.accounts) : null;
  show('worst', worst ? worst.name : data.accounts ? '-' : 'not reported');
  show('worst-detail', worst
    ? (100 * worst.ratio).toFixed(0) + '% answered of sent'
    : 'answered of sent');
  showNodes(data.nodes);
}

async function poll() {
  try {
    const response = await fetch('/live.json', { redirect: 'manual' });
    if (response.type === 'opaqueredirect') {
      window.location.assign('/sign-in');
      return;
    }
    const data = await response.json();
    const at = Date.now();
    if (data.unreachable) {
      show('state', 'No node answered (' + data.unreachable + ').');
    } else {
      showFigures(data, at);
      previous = { data, at };
      show('state', 'Renewed ' + new Date(at).toLocaleTimeString() + '.');
    }
  } catch (error) {
    show('state', 'The console did not answer; trying again.');
  }
  window.setTimeout(poll, POLL_INTERVAL_MS);
}

poll();
