import { readOperationId } from './readOperationId';
import { signTicket } from './signTicket';

const ticket = { workspace: 'kiambu', vm: 'a', incarnation: 100, serial: 7 };

describe('readOperationId', () => {
  it('reads what was signed under the current or the previous key', () => {
    const id = `${signTicket(ticket, 'old')}/12`;
    const expected = { type: 'ticketed', ticket, sequence: 12 };
    expect(readOperationId(id, ['old'])).toEqual(expected);
    expect(readOperationId(id, ['new', 'old'])).toEqual(expected);
    expect(readOperationId(id, ['new']).type).toBe('invalid');
  });

  it('refuses a ticket whose claims were changed', () => {
    const other = signTicket({ ...ticket, workspace: 'derwent' }, 'forger').split('.')[1] ?? '';
    const [prefix = '', , mac = ''] = signTicket(ticket, 'key').split('.');
    expect(readOperationId(`${prefix}.${other}.${mac}/1`, ['key']).type).toBe('invalid');
  });

  it.each(['/0', '/01', '/-1', '/1x', '', '/', '/9999999999999999'])(
    'refuses the sequence %j',
    (sequence) => {
      const id = `${signTicket(ticket, 'key')}${sequence}`;
      expect(readOperationId(id, ['key']).type).toBe('invalid');
    },
  );

  it('takes anything else for a key of the caller, within the length', () => {
    expect(readOperationId('order 17', ['key'])).toEqual({ type: 'own-key' });
    expect(readOperationId('', ['key']).type).toBe('invalid');
    expect(readOperationId('x'.repeat(513), ['key']).type).toBe('invalid');
  });
});
